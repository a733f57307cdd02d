#!/bin/sh
# Builds what the cases from 6 on start, after the build of the deploy file: compiles their scripts.
# They need Python's standard library alone.
cd "$(dirname "$0")/.." || exit 2
exec .venv/bin/python -m compileall -q review/rig.py review/stand.py review/run_case.py review/[6-9] review/10
