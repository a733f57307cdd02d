#!/bin/sh
# Builds the stand-ins of the cases: Python files that need the standard library alone.
set -e
cd "$(dirname "$0")/.."
.venv/bin/python -m compileall -q review
