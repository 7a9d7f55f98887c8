"""Protocols of a control node, as its components use it."""

from __future__ import annotations

from collections.abc import Mapping
from typing import TYPE_CHECKING, Any, Protocol

if TYPE_CHECKING:
    import random

    import logbook

    from petrelhaven.control.consensus.chain import Chain
    from petrelhaven.control.consensus.node_report import NodeReport
    from petrelhaven.control.consensus.view import View
    from petrelhaven.control.storage.node_store import ControlNodeStore
    from petrelhaven.membership.prober import Prober
    from petrelhaven.membership.roster import Roster
    from petrelhaven.runtime.clock import Clock
    from petrelhaven.runtime.tasks import BackgroundTasks
    from petrelhaven.transport.link import Link
    from petrelhaven.transport.node_caller import NodeCaller

__all__ = ["DiskStates", "NodeServices", "ViewProposer"]


class DiskStates(Protocol):
    """The states of the control nodes' disks."""

    def takes_writes(self, name: str) -> bool:
        """Whether the disk of control node `name` takes writes, according to its last notice."""


class ViewProposer(Protocol):
    """Proposes and distributes views."""

    def check_soon(self) -> None:
        """Ends the wait before the next check of the view."""

    def distribute(self, view: View) -> None:
        """Adopts a decided view and sends it to the other members."""


class NodeServices(Protocol):
    """A control node and the services that it provides to its components."""

    name: str
    seeds: list[str]
    clock: Clock
    tasks: BackgroundTasks
    link: Link
    rng: random.Random
    log: logbook.Logger | None
    store: ControlNodeStore
    roster: Roster
    node_caller: NodeCaller
    prober: Prober
    chain: Chain

    @property
    def disk_watch(self) -> DiskStates:
        """The states of the control nodes' disks."""

    @property
    def views(self) -> ViewProposer:
        """Proposes and distributes views."""

    async def call(
        self, name: str, kind: str, body: Mapping[str, Any], timeout_us: int
    ) -> dict[str, Any]:
        """Calls a control node by name. The node may be this one."""

    def report(self) -> NodeReport:
        """Returns the report of this node."""

    async def snapshots(self) -> dict[str, dict[str, Any]]:
        """Returns the control states of live proxies, by proxy name."""
