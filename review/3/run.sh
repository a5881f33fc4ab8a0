#!/bin/sh
# Exit code 1: the rule was broken; 0: it held; 2: the case could not run.  TROUBLE=0 leaves out the disruption.
cd "$(dirname "$0")/../.." || exit 2
test -x .venv/bin/python || { echo "build first: the command in deploy/balancer.toml"; exit 2; }
PYTHONPATH=review exec .venv/bin/python -B review/3/case.py
