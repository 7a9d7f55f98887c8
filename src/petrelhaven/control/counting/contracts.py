"""The interface of a control node that the counting service uses.

Only type checkers import this module, so that imports at run time go in one direction, from
`control/node` to this package.
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

__all__ = ["CountingHost"]


class CountingHost(Protocol):
    """The control node that runs a counting service; implemented by `control/node.ControlNode`.

    Attributes:
        name: The node's name.
        clock: Monotonic time, in microseconds.
        tasks: The node's background tasks, which end when it stops.
        chain: The node's replica of the chain.
        log: The logger for events, or None.
    """

    name: str
    clock: Clock
    tasks: BackgroundTasks
    chain: Chain
    log: logbook.Logger | None

    async def call(
        self, name: str, kind: str, body: Mapping[str, Any], timeout_us: int
    ) -> dict[str, Any]:
        """Sends a request to the control node `name` and returns the answer."""

    async def submit_record(
        self, record: dict[str, Any], force: bool = ..., within_us: int = ...
    ) -> SubmitAnswer:
        """Appends a record to the chain through its head."""
