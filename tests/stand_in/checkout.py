"""A checkout as its build leaves it, for tests that start the programs."""

from pathlib import Path

__all__ = ["link_build"]

_ROOT = Path(__file__).parents[2]


def link_build(folder):
    """Makes a built checkout below `folder`, of links to this one; the interpreter has the packages."""
    root = Path(folder) / "root"
    (root / "target/app").mkdir(parents=True)
    for name in ("deploy", "platform", "src"):
        (root / name).symlink_to(_ROOT / name)
    (root / "target/app/petrelhaven").symlink_to(_ROOT / "src/petrelhaven")
    return root
