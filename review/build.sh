#!/bin/sh
# Builds the stand-ins of the cases.  They are Python and use the standard library only: this compiles them once, with
# the interpreter that the build of the deploy file made, and so shows early that it can read them.
cd "$(dirname "$0")/.." || exit 2
test -x .venv/bin/python || { echo "build first: the command in deploy/balancer.toml"; exit 2; }
exec .venv/bin/python -m compileall -q review
