import tempfile
from pathlib import Path

import pytest
from contracts.stores import FAST_FOLDER


@pytest.fixture
def folder():
    """An empty folder that all users may read."""
    with tempfile.TemporaryDirectory(dir=FAST_FOLDER) as name:
        Path(name).chmod(0o755)
        yield Path(name)
