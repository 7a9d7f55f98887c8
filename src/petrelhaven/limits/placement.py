"""Which control node counts a tenant: rendezvous hashing over the nodes of a view."""

from __future__ import annotations

import hashlib
from collections.abc import Iterable
from typing import NamedTuple

__all__ = ["Placement", "assign_counting_node"]


class Placement(NamedTuple):
    """The node that counts a tenant, and the one that follows it; None where there is none."""

    counting_node: str | None
    successor: str | None


def assign_counting_node(tenant: str, nodes: Iterable[str]) -> Placement:
    """Where `tenant` is counted among `nodes`.

    A node that leaves moves only its own tenants, each to the successor that it had; a node that
    comes takes tenants from all others alike.
    """
    ranked = sorted(nodes, key=lambda node: (_weight(tenant, node), node), reverse=True)
    first = ranked[0] if ranked else None
    second = ranked[1] if len(ranked) > 1 else None
    return Placement(first, second)


def _weight(tenant: str, node: str) -> bytes:
    return hashlib.blake2b(f"{node}\0{tenant}".encode(), digest_size=8).digest()
