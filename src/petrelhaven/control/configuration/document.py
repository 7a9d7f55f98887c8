"""The operator's configuration: what it consists of.

`parsing` reads it from text and `validation` checks it. docs/settings.md describes the fields for
operators.
"""

import dataclasses
from typing import Any

from serde import serde

__all__ = ["NO_LIMIT", "Bounds", "Configuration", "Group", "Route", "Tenant"]

NO_LIMIT = -1
"""Stands for no limit in a tenant's `rate` or `burst`."""


@serde(deny_unknown_fields=True)
@dataclasses.dataclass(slots=True)
class Bounds:
    """Limits of the data plane; names that end in `_us` are microseconds.

    Attributes:
        fetch_us: a fetch of a read position that is older is stuck, and blocks nobody.
        join_us: longest wait of a read for its position.
        wait_us: longest wait for a log, over replicas.
        statement_us: time limit of a statement.
        commit_us: longest wait for in-sync replicas.
        browse_us: greatest age of a browsing read.
        margin_us: part of `browse_us` that is left unused.
        grace_us: what open transactions get when a member leaves.
        lost_us: silence after which a member is lost.
        stall_us: a replica that lacks what the primary had this long ago is stalled.
        warm_us: ramp of a member that is new, restarted or taken back.
        idle_txn_us: an idle transaction is ended after this.
        slots: request slots of a proxy.
        queue: statements that may wait in a session.
        lanes: fetches of a read position in flight.
        sessions: sessions of a proxy.
        keepers: proxies that hold a replica of each session beside its home.
        wall_us: widest interval around true time by which an embargoed record is released.
        skew_us: how far a good wall clock may be from true time.
        spread_us: time after a release over which waiting readers are asked to come back.
        quota_window_us: length of the windows in which tenants' limits hold.
        quota_excess: thousandths by which a window may exceed a tenant's limit.
        quota_slack: operations by which it may exceed it beside that.
    """

    fetch_us: int = 150_000
    join_us: int = 400_000
    wait_us: int = 300_000
    statement_us: int = 2_000_000
    commit_us: int = 1_500_000
    browse_us: int = 1_500_000
    margin_us: int = 300_000
    grace_us: int = 1_000_000
    lost_us: int = 1_200_000
    stall_us: int = 1_500_000
    warm_us: int = 3_000_000
    idle_txn_us: int = 10_000_000
    slots: int = 512
    queue: int = 8
    lanes: int = 2
    sessions: int = 5000
    keepers: int = 2
    wall_us: int = 500_000
    skew_us: int = 100_000
    spread_us: int = 2_000_000
    quota_window_us: int = 5_000_000
    quota_excess: int = 100
    quota_slack: int = 20


@serde(deny_unknown_fields=True)
@dataclasses.dataclass(slots=True)
class Group:
    """A database group.

    Attributes:
        name: its name, by which routes refer to it.
        members: how many members it is planned for.
        cap: connections that a member takes.
        least: members below which the group does not go.
        sync: replicas that have a commit before it is acknowledged.
    """

    name: str
    members: int = 3
    cap: int = 40
    least: int = 1
    sync: int = 0


@serde(deny_unknown_fields=True)
@dataclasses.dataclass(slots=True)
class Route:
    """What a client names: a group and the kind of its reads.

    Attributes:
        name: its name.
        group: the name of its group.
        reads: `strong` or `browsing`.
        host: the host that a client asks for; empty where no client does.
        prefix: the beginning of the things that it is for.
        timeout_us: time limit of a statement.
        aim_us: latency target; a slow read is hedged after a part of it.
        stale_us: how old a browsing read may be.
        rank: the lower, the sooner served.
        public: whether clients need no key on it.
    """

    name: str
    group: str
    reads: str = "strong"
    host: str = ""
    prefix: str = ""
    timeout_us: int = 2_000_000
    aim_us: int = 500_000
    stale_us: int = 1_500_000
    rank: int = 1
    public: bool = False


@serde(deny_unknown_fields=True)
@dataclasses.dataclass(slots=True)
class Tenant:
    """A customer whose clients show one of its keys.

    Attributes:
        name: its name, which members are told.
        keys: digests of its keys, as `runtime.key_digest` makes them.
        rate: operations a second over all proxies, or `NO_LIMIT`.
        burst: how many more may come at once.
        rank: the lower, the sooner served.
    """

    name: str
    keys: list[str] = dataclasses.field(default_factory=list)
    rate: int = NO_LIMIT
    burst: int = 0
    rank: int = 1


@serde(deny_unknown_fields=True)
@dataclasses.dataclass(slots=True)
class Configuration:
    """The operator's whole document.

    Attributes:
        name: the name of the fleet.
        version: which configuration this is; it only grows.
        zones: names of the zones, `halls` in the document.
        groups: the database groups.
        routes: what clients may name.
        bounds: limits of the data plane.
        origin: where the document came from; free text.
        embargoing: groups whose records may be embargoed.
        embargoes: rules as documents, which `embargoes.EmbargoRule` describes.
        keyed: whether clients need a tenant's key on routes that are not public.
        tenants: the tenants.
    """

    name: str
    version: int
    zones: list[str] = dataclasses.field(metadata={"serde_rename": "halls"})
    # mypy takes the field before for one with a default, as serde does not announce its fields
    groups: list[Group]  # type: ignore[misc]
    routes: list[Route]  # type: ignore[misc]
    bounds: Bounds = dataclasses.field(default_factory=Bounds)
    origin: str = ""
    embargoing: list[str] = dataclasses.field(default_factory=list)
    embargoes: list[dict[str, Any]] = dataclasses.field(default_factory=list)
    keyed: bool = False
    tenants: list[Tenant] = dataclasses.field(default_factory=list)

    @property
    def has_embargoes(self) -> bool:
        """Whether it embargoes anything, or names groups in which records may be embargoed."""
        return bool(self.embargoing or self.embargoes)
