import tempfile
from pathlib import Path

import pytest
from contracts.stores import FAST


@pytest.fixture
def place():
    """An empty folder, where everybody may look."""
    with tempfile.TemporaryDirectory(dir=FAST) as folder:
        Path(folder).chmod(0o755)
        yield Path(folder)
