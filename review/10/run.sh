#!/bin/sh
# Runs this case. Exit code: 0 the rule held, 1 it was broken, 2 the case could not run. TROUBLE=0: no disruption.
case_number=10
. "$(dirname "$0")/../standins2/play.sh"
