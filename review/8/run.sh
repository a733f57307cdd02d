#!/bin/sh
# Exit status: 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves out the disruption.
folder=$(cd "$(dirname "$0")" && pwd) || exit 2
cd "$folder/../.." || exit 2
test -x .venv/bin/python || exit 2
rm -f "$folder/record.txt"
exec env PYTHONPATH=review PYTHONDONTWRITEBYTECODE=1 .venv/bin/python review/run_case.py "$folder"
