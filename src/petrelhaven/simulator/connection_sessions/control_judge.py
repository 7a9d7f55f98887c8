"""What operators sent, heard and read back, held against what must never happen."""

import collections
import itertools
from collections.abc import Iterator, Sequence

from petrelhaven.simulator.connection_sessions.operator_order import (
    ConfigOrder,
    OrderRecord,
    ReadRecord,
)

__all__ = ["ACKNOWLEDGED_WITHIN_S", "judge_orders"]

ACKNOWLEDGED_WITHIN_S = 6.0

Violation = tuple[str, ...]


def judge_orders(
    orders: Sequence[OrderRecord], reads: Sequence[ReadRecord], settled: Sequence[Sequence[float]]
) -> list[Violation]:
    """Violations: tuples that begin with the rule's name; `settled` are spans in which the core was settled."""
    configs = [r for r in orders if isinstance(r.order, ConfigOrder)]
    return list(
        itertools.chain(
            _two_confirmed(configs),
            _refused(orders),
            _read_older(configs, reads),
            _unacknowledged(orders, settled),
        )
    )


def _two_confirmed(configs: Sequence[OrderRecord]) -> Iterator[Violation]:
    """Two contents confirmed under one number."""
    confirmed = collections.defaultdict(set)
    for record in configs:
        if record.answered is not None:
            confirmed[record.order.version].add(record.order.text)
    for version, texts in sorted(confirmed.items()):
        if len(texts) > 1:
            yield "TWO CONFIRMED", f"{len(texts)} contents under {version}"


def _refused(orders: Sequence[OrderRecord]) -> Iterator[Violation]:
    """A proper order refused: one that was taken before, or one whose number nobody else had taken."""
    taken = {r.order for r in orders if r.taken}
    answered = {r.order for r in orders if r.answered is not None}
    for record in orders:
        order = record.order
        another = isinstance(order, ConfigOrder) and any(
            isinstance(o, ConfigOrder) and o.version == order.version and o != order
            for o in answered
        )
        if record.refusals and (order in taken or not another):
            yield "REFUSED ORDER", f"{order} sent at {record.sent:.2f}", *record.refusals


def _read_older(configs: Sequence[OrderRecord], reads: Sequence[ReadRecord]) -> Iterator[Violation]:
    """A read that brings less than was acknowledged before it began, or a text that nobody sent."""
    heard = sorted((r.acknowledged, r.order.version) for r in configs if r.acknowledged is not None)
    sent = {r.order.text for r in configs}
    for read in reads:
        least = max((v for t, v in heard if t < read.began), default=0)
        if read.version < least:
            yield (
                "OLDER READ",
                f"{read.core} gave {read.version} at {read.ended:.2f}, acknowledged: {least}",
            )
        if read.version > 1 and read.text not in sent:
            yield "UNKNOWN READ", f"{read.core} gave a text under {read.version} that nobody sent"


def _unacknowledged(
    orders: Sequence[OrderRecord], settled: Sequence[Sequence[float]]
) -> Iterator[Violation]:
    """An order that waited too long within one settled span."""
    for record in orders:
        end = record.answered if record.answered is not None else record.ended
        if end is None or record.refusals:
            continue
        waited = max((min(end, b) - max(record.sent, a) for a, b in settled), default=0.0)
        if waited > ACKNOWLEDGED_WITHIN_S:
            yield "UNACKNOWLEDGED", f"{record.order} waited {waited:.2f} s of settled time"
