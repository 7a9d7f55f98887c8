"""Reads a site file: the shape of its days, its zones, and the variants that its own days use."""

import tomllib
from dataclasses import dataclass
from pathlib import Path

from worst_days.toml_text import TomlValue

TROUBLED_SLOTS = ("trouble", "scale")
_SHAPE = ("slot", "small", "one", "zero", "goal", "floor_classes", "floor_zones", "traffic")


@dataclass(frozen=True, slots=True)
class Site:
    """What drawing a day needs of a site."""

    name: str
    length_s: float
    zones: tuple[str, ...]
    shapes: tuple[dict[str, TomlValue], ...]
    variants: dict[str, tuple[str, ...]]
    closings: tuple[dict[str, TomlValue], ...]


def read_site(path: Path) -> Site:
    """The site of a site file."""
    table = tomllib.loads(path.read_text())
    days = [day for day in table["day"] if day["slot"] in TROUBLED_SLOTS]
    entries = [*table.get("troubles", []), *_entries(table["day"])]
    return Site(
        name=table["name"],
        length_s=table["length_s"],
        zones=tuple(zone["name"] for zone in table["zones"]),
        shapes=tuple({key: day[key] for key in _SHAPE if key in day} for day in days),
        variants=_variants(entries),
        closings=tuple(day["closing"] for day in table["day"] if "closing" in day),
    )


def _entries(days: list[dict]) -> list[dict]:
    return [entry for day in days for entry in [*day.get("plan", []), *day.get("faults", [])]]


def _variants(entries: list[dict]) -> dict[str, tuple[str, ...]]:
    """The variants that stand in the site's own entries, by kind."""
    found: dict[str, dict[str, None]] = {}
    for entry in entries:
        found.setdefault(entry["kind"], {}).setdefault(entry.get("how", ""), None)
    return {kind: tuple(hows) for kind, hows in found.items()}
