"""A drawn day: its entries of trouble and planned work, and the fault that closes it."""

from dataclasses import dataclass, field, replace
from pathlib import Path

from worst_days.toml_text import TomlValue, day_table

PLANNED = frozenset(
    {
        "add_nodes",
        "bad_config",
        "big_config",
        "config_change",
        "config_race",
        "config_storm",
        "evacuate",
        "hup",
        "release",
        "roll_term",
        "seed_turnover",
    }
)
PLANNED_REPLACEMENT = ("replace_core", "planned")


@dataclass(frozen=True, slots=True)
class Entry:
    """One line of a day."""

    at: float
    kind: str
    how: str = ""
    settings: tuple[tuple[str, TomlValue], ...] = ()

    @property
    def planned(self) -> bool:
        """Whether it stands under `plan`."""
        return self.kind in PLANNED or (self.kind, self.how) == PLANNED_REPLACEMENT

    def table(self) -> dict[str, TomlValue]:
        """The entry as the site files write one."""
        table: dict[str, TomlValue] = {"at": self.at, "kind": self.kind}
        if self.how:
            table["how"] = self.how
        return table | dict(self.settings)

    def setting(self, key: str) -> TomlValue | None:
        """A setting, or nothing."""
        return dict(self.settings).get(key)

    def with_setting(self, key: str, value: TomlValue) -> "Entry":
        """The same entry with another value for a setting."""
        return replace(self, settings=tuple((dict(self.settings) | {key: value}).items()))


@dataclass(frozen=True, slots=True)
class Day:
    """A day that can be played; `name` is the site and the seed that it was drawn with."""

    name: str
    seed: int
    shape: dict[str, TomlValue]
    entries: tuple[Entry, ...]
    closing: dict[str, TomlValue] = field(default_factory=dict)

    def without_kind(self, kind: str) -> "Day":
        """The same day without the entries of a kind."""
        return replace(self, entries=tuple(entry for entry in self.entries if entry.kind != kind))

    def text(self) -> str:
        """The day as a TOML file."""
        ordered = sorted(self.entries, key=lambda entry: entry.at)
        fields: dict[str, TomlValue] = {"name": self.name.replace(":", "-"), "seed": self.seed}
        fields |= self.shape | {"labels": []}
        if self.closing:
            fields["closing"] = self.closing
        fields["plan"] = [entry.table() for entry in ordered if entry.planned]
        fields["faults"] = [entry.table() for entry in ordered if not entry.planned]
        return day_table(fields)

    def write(self, folder: Path, label: str = "") -> Path:
        """Writes the day into a folder; the path of its file."""
        path = folder / f"{self.name.replace(':', '-')}{label}.toml"
        path.write_text(self.text())
        return path
