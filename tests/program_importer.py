"""Runs code in a new interpreter that has imported the programs of the platform."""

import subprocess
import sys
from pathlib import Path

from virtual_io import HANG_S

__all__ = ["run_after_importing_programs"]

_ROOT = Path(__file__).parent.parent
_PRELUDE = f"import sys; sys.path[:0] = {[str(_ROOT / 'platform'), str(_ROOT / 'src')]!r}"


def run_after_importing_programs(code, before=""):
    """Runs `before`, imports both programs and runs `code`; returns what that printed."""
    process = subprocess.run(
        [sys.executable, "-c", "\n".join([_PRELUDE, before, "import core, edge", code])],
        capture_output=True,
        text=True,
        timeout=HANG_S,
    )
    assert process.returncode == 0, process.stderr
    return process.stdout.strip()
