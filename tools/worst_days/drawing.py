"""Draws days. The same site, kinds and seed give the same day.

Every variant of every kind stands once in a shuffled deck; two of each day's entries are dealt from
it in turn, so a run of seeds plays them all. The rest of the two to six entries is drawn freely, or
repeats one that is there. Beside them stand orders of the operator: two in calm times, one in the
midst of the trouble.
"""

from dataclasses import dataclass, replace
from random import Random

from worst_days.day import Day, Entry
from worst_days.kinds import Kind
from worst_days.settings import draw_settings
from worst_days.site import Site
from worst_days.toml_text import TomlValue

DEALT_ENTRIES = 2
FIRST_S, LAST_S, CLUSTER_S = 2.0, 12.0, 8.0
LATEST_S = 24.0
REPEAT_CHANCE = 0.25
CLOSING_CHANCE = 0.6
CALM_ORDERS_S = (5.0, 24.0)
MOST_SEED = 1 << 28

_SERVERS = frozenset(
    {
        "answer_lost",
        "release",
        "replica_lag",
        "srv_crash",
        "srv_flap",
        "srv_grey",
        "srv_lying_health",
    }
)
_MACHINES = frozenset(
    {
        "core_cut",
        "disk_full",
        "disk_slow",
        "disk_stall",
        "node_freeze",
        "node_kill",
        "node_slow",
        "replace_core",
    }
)
_CUTS = frozenset({"bridge_cut", "core_cut", "node_cut", "primary_cut", "region_cut", "zone_cut"})
_ORDERS = frozenset({"config_change", "config_race", "config_storm", "evacuate"})
_CHOICES = ("leader", "reader", "seed")
_CHANGES_ON_RETURN = ("meet", "race", "hard", "race hard", "drain")
_CLOSINGS = ("power_off_all", "wipe_after_ack", "kill_all")
_CLOSING_VARIANTS = ("", "timed", "taken")

PLAIN_CHANGE = Kind("config_change", "a change", ("idle",), None)

Variant = tuple[Kind, str]


def variants(kinds: tuple[Kind, ...]) -> list[Variant]:
    """Every kind with each of its variants, and with those that fit all of its sort."""
    found: list[Variant] = []
    for kind in kinds:
        hows = ["", *kind.variants, *_common_variants(kind.name)]
        found.extend((kind, how) for how in dict.fromkeys(hows))
    return found


def closings(site: Site) -> list[dict[str, TomlValue]]:
    """Every closing fault with each of its variants."""
    own = [(str(closing["kind"]), str(closing.get("how", ""))) for closing in site.closings]
    every = [(kind, how) for kind in _CLOSINGS for how in _CLOSING_VARIANTS]
    return [
        {"kind": kind, "how": how} if how else {"kind": kind}
        for kind, how in dict.fromkeys(every + own)
    ]


@dataclass(frozen=True, slots=True)
class Density:
    """How many entries a day has, and how often two of them strike at the same moment."""

    fewest: int = 2
    most: int = 6
    together: float = 0.0


USUAL = Density()


def draw_day(site: Site, kinds: tuple[Kind, ...], seed: int, density: Density = USUAL) -> Day:
    """The day that a seed names."""
    rng = Random(f"{site.name}:{seed}")
    every = variants(kinds)
    start = rng.uniform(FIRST_S, LAST_S)
    dealt = [_dealt(every, site, seed * DEALT_ENTRIES + i) for i in range(DEALT_ENTRIES)]
    entries = [_entry(rng, site, start, variant) for variant in dealt]
    for _ in range(rng.randint(density.fewest, density.most) - DEALT_ENTRIES):
        repeated = rng.random() < REPEAT_CHANCE
        entries.append(
            _again(rng, entries) if repeated else _entry(rng, site, start, _free(rng, every))
        )
    if density.together:
        entries = _at_one_moment(rng, entries, density.together)
    orders = [Entry(at, PLAIN_CHANGE.name, "idle") for at in CALM_ORDERS_S]
    orders.append(_entry(rng, site, start, _order(rng, every)))
    return Day(
        name=f"{site.name}:{seed}",
        seed=rng.randrange(MOST_SEED),
        shape=rng.choice(site.shapes),
        entries=(*entries, *orders),
        closing=_closing(rng, site, seed),
    )


def _dealt(every: list[Variant], site: Site, position: int) -> Variant:
    """The card at a position of the deck, which is shuffled anew each time it has run out."""
    turn, place = divmod(position, len(every))
    deck = list(every)
    Random(f"{site.name} deck {turn}").shuffle(deck)
    return deck[place]


def _free(rng: Random, every: list[Variant]) -> Variant:
    """A kind drawn first, so that one with many variants comes no more often than another."""
    kind = rng.choice(list(dict.fromkeys(kind for kind, _ in every)))
    return rng.choice([variant for variant in every if variant[0] == kind])


def _order(rng: Random, every: list[Variant]) -> Variant:
    """An order of the operator; a plain change where none is among the kinds."""
    orders = [variant for variant in every if variant[0].name in _ORDERS]
    return _free(rng, orders or [(PLAIN_CHANGE, "idle")])


def _entry(rng: Random, site: Site, start: float, variant: Variant) -> Entry:
    kind, how = variant
    at = round(min(LATEST_S, start + rng.uniform(0.0, CLUSTER_S)), 2)
    return Entry(at, kind.name, how, draw_settings(rng, kind, site))


def _again(rng: Random, entries: list[Entry]) -> Entry:
    """An entry that is there already, some seconds later."""
    entry = rng.choice(entries)
    return replace(entry, at=round(min(LATEST_S, entry.at + rng.uniform(0.5, CLUSTER_S)), 2))


def _at_one_moment(rng: Random, entries: list[Entry], chance: float) -> list[Entry]:
    """The entries, some moved to the moment of the one before."""
    moved = entries[:1]
    for entry in entries[1:]:
        together = rng.random() < chance
        moved.append(replace(entry, at=moved[-1].at) if together else entry)
    return moved


def _closing(rng: Random, site: Site, seed: int) -> dict[str, TomlValue]:
    if rng.random() >= CLOSING_CHANCE:
        return {}
    every = closings(site)
    return every[seed % len(every)] | {"down_s": round(rng.uniform(0.5, 2.0), 2)}


def _common_variants(name: str) -> list[str]:
    """Variants that the bench tells once for a whole sort of kinds."""
    found: list[str] = []
    if name in _SERVERS:
        found += ["across", "all"]
    if name in _MACHINES:
        found += [*_CHOICES, *(f"leader {change}" for change in _CHANGES_ON_RETURN)]
    if name in _CUTS:
        found += ["reset", "refuse"]
    if name == "roll_term":
        found += ["busy"]
    return found
