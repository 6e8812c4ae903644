#!/bin/sh
# Builds the stand-ins. They need the standard library alone, so only their syntax is checked here.
set -e
cd "$(dirname "$0")/.."
test -x .venv/bin/python || { echo "first run the build of deploy/balancer.toml" >&2; exit 2; }
.venv/bin/python -m compileall -q review
