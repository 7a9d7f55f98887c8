"""What a counting node has told its successor, and how far it may grant before it tells more."""

from __future__ import annotations

from dataclasses import dataclass

from petrelhaven.limits.counter import TenantCounter
from petrelhaven.limits.counter_mode import CounterMode
from petrelhaven.limits.standby import STANDBY_LIFETIME_US, CounterCopy

__all__ = ["CopyTracker", "SentCopy"]

_CERTAIN_LIFE_US = STANDBY_LIFETIME_US * 11 // 10
_KEEP_ALIVE_US = 1_000_000
_LEAST_RESERVE = 4
_RESERVE_SHARE = 6
"""The part of an allowance that may be granted between two copies."""
_MOST_RESERVE_SHARE = 3


@dataclass(slots=True, eq=False)
class SentCopy:
    """A copy that the successor may go by.

    Attributes:
        grant_limit: How many permits the counter may have granted in all while it may.
        uses: How many uses the counter had counted when the copy was made.
        expires_at: When the successor certainly goes by it no more.
        is_on_its_way: Whether neither an answer has come nor the time for it is over.
    """

    grant_limit: int
    uses: int
    expires_at: int
    is_on_its_way: bool = True


class CopyTracker:
    """The copies of one tenant's count. Times are clock microseconds."""

    def __init__(self) -> None:
        """Nothing was sent yet."""
        self._sent: list[SentCopy] = []
        self._acknowledged: SentCopy | None = None
        self._copied: tuple[int, int] | None = None
        self._copied_at = 0

    def most(self, counter: TenantCounter, now: int) -> int | None:
        """How many more permits may be granted now; None for no such bound."""
        self._sent = [copy for copy in self._sent if now < copy.expires_at]
        if not self._sent:
            return None
        return max(0, min(copy.grant_limit for copy in self._sent) - counter.grants)

    def is_due(self, counter: TenantCounter, now: int) -> bool:
        """Whether the successor should be told now."""
        if any(copy.is_on_its_way for copy in self._sent):
            return False
        if now - self._copied_at >= _KEEP_ALIVE_US:
            return True
        return self._copied != (counter.uses, counter.grants)

    def make(
        self, tenant: str, counter: TenantCounter, regime: CounterMode, left_us: int, now: int
    ) -> tuple[CounterCopy, SentCopy]:
        """The copy to send now, and what is to be remembered of it.

        `regime` is that of the counter, which lasts for `left_us` more.
        """
        last = self._acknowledged
        reserve = max(_LEAST_RESERVE, counter.allowance // _RESERVE_SHARE)
        reserve = max(1, min(reserve, counter.allowance // _MOST_RESERVE_SHARE))
        uses = counter.uses_by_age(now) if last is None else [(0, counter.uses - last.uses)]
        copy = CounterCopy(
            tenant, uses, counter.outstanding(), reserve, last is None, regime.value, left_us
        )
        sent = SentCopy(counter.grants + reserve, counter.uses, now + _CERTAIN_LIFE_US)
        self._sent.append(sent)
        self._copied, self._copied_at = (counter.uses, counter.grants), now
        return copy, sent

    def acknowledge(self, sent: SentCopy) -> None:
        """The successor has a copy; it goes by no earlier one any more."""
        sent.is_on_its_way = False
        if sent in self._sent:
            self._sent = self._sent[self._sent.index(sent) :]
        self._acknowledged = sent

    def lose(self, sent: SentCopy) -> None:
        """Nobody knows whether a copy arrived; the next one stands for all."""
        sent.is_on_its_way = False
        self._acknowledged = self._copied = None
