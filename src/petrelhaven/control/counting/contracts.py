"""What counting needs of the control node that it belongs to.

For type checkers and readers: nothing imports this module at run time, so that imports go in one
direction, from `control/node` to this package.
"""

from __future__ import annotations

from collections.abc import Mapping
from typing import TYPE_CHECKING, Any, Protocol

if TYPE_CHECKING:
    import logbook

    from petrelhaven.control.consensus.chain import Chain
    from petrelhaven.control.submit_messages import SubmitAnswer
    from petrelhaven.runtime.clock import Clock
    from petrelhaven.runtime.tasks import BackgroundTasks

__all__ = ["CountingNode"]


class CountingNode(Protocol):
    """A control node; `control/node.ControlNode` is the one there is.

    Attributes:
        name: Its name.
        clock: Monotonic time, in microseconds.
        tasks: Its background tasks, which end with it.
        chain: Its place in the chain.
        log: Where its events go, or None.
    """

    name: str
    clock: Clock
    tasks: BackgroundTasks
    chain: Chain
    log: logbook.Logger | None

    async def call(
        self, name: str, kind: str, body: Mapping[str, Any], timeout_us: int
    ) -> dict[str, Any]:
        """Calls another control node by name."""

    async def submit_record(
        self, record: dict[str, Any], force: bool = ..., within_us: int = ...
    ) -> SubmitAnswer:
        """Enters a record at the head."""
