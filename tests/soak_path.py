"""Makes the modules of the soak test importable in tests."""

import pathlib
import sys

ROOT = pathlib.Path(__file__).resolve().parent.parent
SOAK_PATH = ROOT / 'platform' / 'soak'


def add_soak_path():
    """Add the folder of the soak test to the import path."""
    if str(SOAK_PATH) not in sys.path:
        sys.path.append(str(SOAK_PATH))
