"""Shrinks a day that breaks: the fewest, shortest and plainest entries that break alike."""

from collections.abc import Callable, Iterator
from dataclasses import dataclass, replace

from worst_days.day import Day, Entry

SHORTEST_S = 1.0

Breaks = Callable[[Day], bool]


@dataclass(slots=True)
class Budget:
    """How many plays are left."""

    plays: int

    def take(self) -> bool:
        """Takes one play, if one is left."""
        self.plays -= 1
        return self.plays >= 0


def shrink(day: Day, breaks: Breaks, most_plays: int) -> Day:
    """The smallest day found within the plays that still breaks; the day itself if none does."""
    budget = Budget(most_plays)
    for smaller in (_with_fewer_entries, _with_plainer_entries):
        day = _smallest(day, smaller, breaks, budget)
    return day


def _smallest(
    day: Day, smaller: Callable[[Day], Iterator[Day]], breaks: Breaks, budget: Budget
) -> Day:
    """Takes the first smaller day that breaks, over and over, until none does."""
    found = True
    while found:
        found = False
        for candidate in smaller(day):
            if not budget.take():
                return day
            if breaks(candidate):
                day, found = candidate, True
                break
    return day


def _with_fewer_entries(day: Day) -> Iterator[Day]:
    if day.closing:
        yield replace(day, closing={})
    for i in range(len(day.entries)):
        yield replace(day, entries=day.entries[:i] + day.entries[i + 1 :])


def _with_plainer_entries(day: Day) -> Iterator[Day]:
    for i, entry in enumerate(day.entries):
        for plainer in _plainer(entry):
            yield replace(day, entries=(*day.entries[:i], plainer, *day.entries[i + 1 :]))


def _plainer(entry: Entry) -> Iterator[Entry]:
    """The entry shorter, fewer, or without the last word of its variant."""
    for_s = entry.setting("for_s")
    if isinstance(for_s, float) and for_s / 2 >= SHORTEST_S:
        yield entry.with_setting("for_s", round(for_s / 2, 2))
    count = entry.setting("count")
    if isinstance(count, int) and count > 1:
        yield entry.with_setting("count", count // 2)
    if entry.how:
        yield replace(entry, how=" ".join(entry.how.split()[:-1]))
