"""What the parts of a control node use of the node that they belong to."""

from __future__ import annotations

from collections.abc import Mapping
from typing import TYPE_CHECKING, Any, Protocol

if TYPE_CHECKING:
    import random

    import logbook

    from petrelhaven.control.consensus.chain import Chain
    from petrelhaven.control.consensus.node_report import NodeReport
    from petrelhaven.control.consensus.view import View
    from petrelhaven.control.storage.core_store import CoreStore
    from petrelhaven.membership.prober import Prober
    from petrelhaven.membership.roster import Roster
    from petrelhaven.runtime.clock import Clock
    from petrelhaven.runtime.tasks import BackgroundTasks
    from petrelhaven.transport.link import Link
    from petrelhaven.transport.reach import Reach

__all__ = ["DiskStates", "NodeServices", "Views"]


class DiskStates(Protocol):
    """Which control nodes' disks take writes."""

    def takes_writes(self, name: str) -> bool:
        """Whether the disk of control node `name` takes writes, as far as is known."""


class Views(Protocol):
    """What proposes views."""

    def check_soon(self) -> None:
        """Has the next check made soon."""

    def distribute(self, view: View) -> None:
        """Adopts a decided view and sends it to its other members."""


class NodeServices(Protocol):
    """One control node, as its parts use it."""

    name: str
    seeds: list[str]
    clock: Clock
    tasks: BackgroundTasks
    link: Link
    rng: random.Random
    log: logbook.Logger | None
    store: CoreStore
    roster: Roster
    reach: Reach
    prober: Prober
    chain: Chain

    @property
    def disk_watch(self) -> DiskStates:
        """Knows which disks take writes."""

    @property
    def views(self) -> Views:
        """Proposes views."""

    async def call(
        self, name: str, kind: str, body: Mapping[str, Any], timeout_us: int
    ) -> dict[str, Any]:
        """Calls another control node, or this one, by name."""

    def report(self) -> NodeReport:
        """What this node reports of itself."""

    async def snapshots(self) -> dict[str, dict[str, Any]]:
        """The control states that living proxies hold, by their names."""
