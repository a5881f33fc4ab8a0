#!/bin/sh
# Builds the stand-ins of the second review, after the build of the deploy file.  They need its environment alone.
set -e
cd "$(dirname "$0")/.."
.venv/bin/python -m compileall -q review/standins2
.venv/bin/python -c "import asyncio, sys, tomllib; sys.exit(sys.version_info < (3, 11))"
