"""Runs the case of a folder; one that cannot even be read could not run. Only a broken rule ends with 1."""

from __future__ import annotations

import runpy
import sys
import traceback
from pathlib import Path

COULD_NOT_RUN = 2

try:
    runpy.run_path(str(Path(sys.argv[1]) / "case.py"), run_name="__main__")
except Exception:
    traceback.print_exc()
    sys.exit(COULD_NOT_RUN)
