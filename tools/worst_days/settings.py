"""Draws the settings of an entry: how long, how many, how strong, and on which machines."""

from random import Random

from worst_days.kinds import Kind
from worst_days.site import Site
from worst_days.toml_text import TomlValue

LONG_CUT_S = (18.0, 24.0)
LONG_CUT_CHANCE = 0.2
STRENGTH_CHANCE = 0.5
ON_CORE_CHANCE = 0.5
MOST_SHARE = 0.95

_INSTANT = frozenset(
    {
        "add_nodes",
        "bad_config",
        "big_config",
        "config_change",
        "config_race",
        "hup",
        "release",
        "roll_term",
        "seed_turnover",
    }
)
_LONG = frozenset({"core_cut", "node_cut", "primary_cut", "zone_cut"})
_COUNTED = frozenset({"core_cut", "disk_full", "disk_slow", "disk_stall"})
_SHARED = frozenset(
    {
        "answer_lost",
        "clock_step",
        "herd_kill",
        "hup",
        "node_cut",
        "node_freeze",
        "node_kill",
        "node_slow",
        "release",
        "replica_lag",
        "reset_conns",
        "roll_term",
        "srv_crash",
        "srv_flap",
        "srv_grey",
        "srv_lying_health",
    }
)
_SEVERAL = {"bad_config": 4, "big_config": 400, "config_race": 4, "rude": 40}
_GAPPED = frozenset(
    {"bad_config", "config_race", "config_storm", "hup", "release", "roll_term", "srv_flap"}
)
_ON_CORE = frozenset(
    {
        "disk_full",
        "disk_slow",
        "disk_stall",
        "herd_kill",
        "hup",
        "node_freeze",
        "node_kill",
        "node_slow",
        "reset_conns",
        "roll_term",
    }
)
_ONE_AT_A_TIME = frozenset({"release", "roll_term"})
_NO_DEFAULT = {"burst": (1.3, 2.0)}

Settings = tuple[tuple[str, TomlValue], ...]


def draw_settings(rng: Random, kind: Kind, site: Site) -> Settings:
    """Settings that fit the kind; what isn't set, the bench draws or knows."""
    drawn: dict[str, TomlValue] = {}
    if kind.name not in _INSTANT:
        drawn["for_s"] = _duration(rng, kind)
    if kind.name in _COUNTED:
        drawn["count"] = rng.randint(1, 2)
    if kind.name in _SEVERAL:
        drawn["count"] = rng.randint(2, _SEVERAL[kind.name])
    if kind.name in _SHARED:
        drawn["share"] = round(rng.uniform(0.1, 0.6), 2)
    if kind.name in _GAPPED:
        drawn["gap_s"] = round(rng.uniform(0.3, 2.0), 2)
    if kind.name in _ON_CORE and rng.random() < ON_CORE_CHANCE:
        drawn["on"] = "core"
    if kind.name == "evacuate":
        drawn["zone"] = rng.choice(site.zones)
    strength = _strength(rng, kind)
    if strength is not None:
        drawn["x"] = strength
    return tuple(drawn.items())


def _duration(rng: Random, kind: Kind) -> float:
    if kind.name in _LONG and rng.random() < LONG_CUT_CHANCE:
        return round(rng.uniform(*LONG_CUT_S), 2)
    return round(rng.uniform(1.0, 8.0), 2)


def _strength(rng: Random, kind: Kind) -> float | None:
    if kind.name in _NO_DEFAULT:
        return round(rng.uniform(*_NO_DEFAULT[kind.name]), 2)
    if kind.strength is None or kind.name in _ONE_AT_A_TIME or rng.random() >= STRENGTH_CHANCE:
        return None
    strength = round(kind.strength * rng.uniform(0.5, 2.0), 3)
    return min(strength, MOST_SHARE) if kind.strength < 1 else strength
