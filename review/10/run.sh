#!/bin/sh
# Runs the case; TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
[ -x .venv/bin/python ] || exit 2
exec .venv/bin/python review/10/case.py
