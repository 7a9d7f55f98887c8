"""Scenes: one fault each, brought about on purpose, with what must hold afterwards."""

from petrelhaven.simulator.resumable.scenes import cores, edges, members
from petrelhaven.simulator.resumable.scenes import zones as zones

__all__ = ["NEEDS", "SCENES", "SIZE"]

SCENES = {n: getattr(m, n) for m in (members, cores, edges, zones) for n in m.__all__}
NEEDS = {
    "overload": {"slots": 20},
    "primary_lost": {"lag_us": 250_000},
    "clock_alone": {"lag_us": 60_000},
    "browsing_alone": {"stall_us": 10_000_000},
}
SIZE = {"region_lost": "nordvik", "region_cut": "nordvik"}
