"""What a core's control address answers an operator, and the one place that says so."""

import enum
from dataclasses import dataclass

from petrelhaven.control.node import ControlNode
from petrelhaven.control.request_router import ANSWER_TIMEOUT_US
from petrelhaven.runtime.errors import Duplicate, Fault, Stale, VersionTaken
from petrelhaven.simulator.connection_sessions.operator_order import ConfigOrder, EvacuationOrder

__all__ = ["Answer", "AnswerKind", "answer_order"]

_ACK_US = 4_000_000
_REFUSALS = frozenset((400, 409, 412, 413, 422))


class AnswerKind(enum.Enum):
    """The classes of answer that an operator tells apart."""

    TAKEN = "taken"
    TAKEN_BEFORE = "taken before"
    OLDER = "older than the one in force"
    REFUSED = "refused"
    FAILED = "failed"


@dataclass(frozen=True, slots=True)
class Answer:
    """One answer; `status` is the HTTP status of it."""

    kind: AnswerKind
    status: int
    note: str = ""

    @property
    def acknowledges(self) -> bool:
        """Whether the operator takes the order as acknowledged."""
        return self.status == 200


async def answer_order(node: ControlNode, order: ConfigOrder | EvacuationOrder) -> Answer:
    """Has a core carry out an order, as the platform's core daemon does."""
    try:
        await node.clock.limit(_carry_out(node, order), _ACK_US)
    except Duplicate as e:
        return Answer(AnswerKind.TAKEN_BEFORE, 200, e.note)
    except VersionTaken as e:
        return Answer(AnswerKind.REFUSED, e.status, e.note)
    except Stale as e:
        if isinstance(order, ConfigOrder) and e.details.get("version", 0) > order.version:
            return Answer(AnswerKind.OLDER, 200, e.note)
        return Answer(AnswerKind.REFUSED, e.status, e.note)
    except Fault as e:
        refused = e.status in _REFUSALS and e.retry_after_us is None
        return Answer(AnswerKind.REFUSED if refused else AnswerKind.FAILED, e.status, e.note)
    return Answer(AnswerKind.TAKEN, 200)


async def _carry_out(node: ControlNode, order: ConfigOrder | EvacuationOrder) -> None:
    if isinstance(order, ConfigOrder):
        await node.apply(order.text, by="operator", within_us=ANSWER_TIMEOUT_US)
    else:
        await node.set_zone_state(
            order.zone, order.state, by="operator", within_us=ANSWER_TIMEOUT_US
        )
