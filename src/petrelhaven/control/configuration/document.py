"""The types of the operator's configuration.

`parsing` reads a configuration from text and `validation` checks it. docs/settings.md describes the
fields for operators.
"""

import dataclasses
from typing import Any

from serde import serde

__all__ = ["NO_LIMIT", "Bounds", "Configuration", "Group", "Route", "Tenant"]

NO_LIMIT = -1
"""Value of a tenant's `rate` or `burst` that means no limit."""


@serde(deny_unknown_fields=True)
@dataclasses.dataclass(slots=True)
class Bounds:
    """Limits of the data plane; names that end in `_us` are microseconds.

    Attributes:
        fetch_us: age after which a pending fetch of a read position no longer delays other reads.
        join_us: maximum wait of a read for its read position.
        wait_us: maximum total wait for replicas to reach the read position.
        statement_us: time limit of a statement.
        commit_us: maximum wait of a commit for in-sync replicas.
        browse_us: maximum age of the data that a browsing read returns.
        margin_us: safety margin that is subtracted from `browse_us`.
        grace_us: time for open transactions to finish when a member leaves.
        lost_us: time without heartbeats after which a member is lost.
        stall_us: a replica whose log is behind by more than this is stalled.
        warm_us: duration over which load on a new, restarted or returning member is ramped up.
        idle_txn_us: time after which an idle transaction is ended.
        slots: maximum number of concurrent requests of a proxy.
        queue: maximum number of statements queued in a session.
        lanes: maximum number of concurrent fetches of a read position.
        sessions: maximum number of sessions of a proxy.
        keepers: number of proxies that hold a replica of each session besides its own proxy.
        wall_us: maximum width of the time interval by which an embargoed record may be released.
        skew_us: maximum deviation of a correct wall clock from true time.
        spread_us: period after a release over which the retries of waiting readers are spread.
        quota_window_us: length of the windows to which tenants' limits apply.
        quota_excess: thousandths by which a window may exceed a tenant's limit.
        quota_slack: operations by which a window may exceed it in addition.
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
        members: planned number of members.
        cap: maximum number of connections of a member.
        least: minimum number of members.
        sync: number of replicas that must hold a commit before it is acknowledged.
    """

    name: str
    members: int = 3
    cap: int = 40
    least: int = 1
    sync: int = 0


@serde(deny_unknown_fields=True)
@dataclasses.dataclass(slots=True)
class Route:
    """A route, which clients select: a group and the kind of its reads.

    Attributes:
        name: its name.
        group: the name of its group.
        reads: `strong` or `browsing`.
        host: the host name that clients request; empty if no client selects the route by host.
        prefix: the prefix of the record keys that the route serves.
        timeout_us: time limit of a statement.
        aim_us: latency target; a read that has used a fraction of it is hedged.
        stale_us: maximum age of the data that a browsing read returns.
        rank: priority; lower ranks are served first.
        public: whether clients may use the route without a key.
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
    """A tenant, whose clients authenticate with one of its keys.

    Attributes:
        name: its name, which is sent to members.
        keys: digests of its keys, as computed by `runtime.key_digest`.
        rate: operations per second over all proxies, or `NO_LIMIT`.
        burst: number of operations that may exceed the rate at once.
        rank: priority; lower ranks are served first.
    """

    name: str
    keys: list[str] = dataclasses.field(default_factory=list)
    rate: int = NO_LIMIT
    burst: int = 0
    rank: int = 1


@serde(deny_unknown_fields=True)
@dataclasses.dataclass(slots=True)
class Configuration:
    """The complete configuration document.

    Attributes:
        name: the name of the fleet.
        version: its version number, which only increases.
        zones: names of the zones; the JSON key is `halls`.
        groups: the database groups.
        routes: the routes that clients may select.
        bounds: limits of the data plane.
        origin: the document from which it was generated; free text.
        embargoing: groups whose records may be embargoed.
        embargoes: embargo rules as JSON objects, as described by `embargoes.EmbargoRule`.
        keyed: whether clients need a tenant's key on routes that are not public.
        tenants: the tenants.
    """

    name: str
    version: int
    zones: list[str] = dataclasses.field(metadata={"serde_rename": "halls"})
    # mypy assumes that `zones` has a default, since serde's decorator is no dataclass transform.
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
        """Whether it has embargo rules or names groups whose records may be embargoed."""
        return bool(self.embargoing or self.embargoes)
