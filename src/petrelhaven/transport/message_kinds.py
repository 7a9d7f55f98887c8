"""Names of the kinds of messages between the system's processes.

The values are sent in messages and never change. They are plain strings, so that a kind read from a
message compares equal to its constant and has the same hash. `contracts` defines the body of each.
"""

from typing import Final

__all__ = ["MessageKind"]


class MessageKind:
    """The name of every kind of message."""

    # Membership.
    PEER_PROBE: Final = "kith.probe"
    PEER_ACKNOWLEDGE: Final = "kith.ack"
    PEER_PROBE_FOR: Final = "kith.ask"
    PEER_JOIN: Final = "kith.join"

    # Control nodes: the view register and views.
    REGISTER_PREPARE: Final = "vote.prepare"
    REGISTER_ACCEPT: Final = "vote.accept"
    VIEW_READ: Final = "view.ask"
    VIEW_LEARN: Final = "view.learn"
    VIEW_CONFIRM: Final = "view.confirm"
    DISK_STATE_CHANGED: Final = "disk.turned"

    # Control nodes: the chain, observations and checks of members.
    CHAIN_APPEND: Final = "chain.append"
    CHAIN_ENTER: Final = "chain.enter"
    CHAIN_READ: Final = "chain.read"
    CHAIN_IN_FORCE: Final = "chain.force"
    PLANNER_OBSERVATIONS: Final = "duty.heard"
    WALL_CLOCK_READ: Final = "wall.read"
    MEMBER_SUSPECT: Final = "warden.doubt"
    MEMBER_CHECK: Final = "warden.look"

    # Control nodes and proxies.
    PROXY_CONNECT: Final = "edge.hold"
    PROXY_PUSH: Final = "edge.push"
    PROXY_SNAPSHOT: Final = "edge.frame"
    PROXY_LEASE: Final = "edge.lease"
    PROXY_ENTER: Final = "edge.enter"
    LEASE_RENEW: Final = "tie.pulse"
    AGREED_TIME_READ: Final = "tie.wall"
    QUOTA_REPORT: Final = "quota.report"

    # Between control nodes: counts of tenants' operations.
    QUOTA_COUNT: Final = "quota.count"
    QUOTA_COPY: Final = "quota.copy"
    QUOTA_FETCH: Final = "quota.fetch"

    # Between proxies: resumable sessions and their replicas.
    SESSION_DELIVER: Final = "span.deliver"
    SESSION_TAKE: Final = "span.take"
    SESSION_CEDE: Final = "span.cede"
    REPLICA_KEEP: Final = "span.keep"
    REPLICA_DROP: Final = "span.drop"
    REPLICA_VERSIONS: Final = "span.seen"

    # Any node.
    RELAY: Final = "creed.relay"
    NODE_REPORTED_STATE: Final = "creed.belief"
