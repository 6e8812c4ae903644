#!/bin/sh
# Builds what the cases 6 to 10 start beside the gateways: stand-ins in Python, which need no packages. They are
# compiled once, so that a mistake in one shows here. To be run after the build of deploy/balancer.toml.
cd "$(dirname "$0")/.." || exit 2
.venv/bin/python -m compileall -q review/standins2 || exit 2
for play in review/[6-9]/play.py review/10/play.py; do
    [ ! -f "$play" ] || .venv/bin/python -m compileall -q "$play" || exit 2
done
