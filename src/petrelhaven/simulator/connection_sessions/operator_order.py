"""The orders of a simulated operator, and the record of what became of each."""

from dataclasses import dataclass, field

__all__ = ["ConfigOrder", "EvacuationOrder", "OrderRecord", "ReadRecord"]


@dataclass(frozen=True, slots=True)
class ConfigOrder:
    """A whole configuration under a number."""

    version: int
    text: str = field(repr=False)


@dataclass(frozen=True, slots=True)
class EvacuationOrder:
    """The beginning (`emptied`) or the end (`open`) of the evacuation of a hall."""

    zone: str
    state: str


@dataclass(slots=True)
class OrderRecord:
    """When an order was first sent, answered well by a core, and heard by its operator; seconds of virtual time.

    `answered` is set by the core's answer, `acknowledged` once that answer reached the operator: answers may be lost.
    `taken` says that a core answered that it took this very order, not that it holds a newer one.
    """

    order: ConfigOrder | EvacuationOrder
    sent: float
    answered: float | None = None
    acknowledged: float | None = None
    ended: float | None = None
    taken: bool = False
    calls: int = 0
    refusals: list[str] = field(default_factory=list)


@dataclass(frozen=True, slots=True)
class ReadRecord:
    """A configuration read back from `core`: asked for at `began`, with version 0 for none."""

    core: str
    began: float
    ended: float
    version: int
    text: str = field(repr=False)
