"""Assigns tenants to control nodes by rendezvous hashing over the nodes of a view."""

from __future__ import annotations

import hashlib
from collections.abc import Iterable
from typing import NamedTuple

__all__ = ["Placement", "assign_counting_node"]


class Placement(NamedTuple):
    """The counting node of a tenant and its successor; None where there is no such node."""

    counting_node: str | None
    successor: str | None


def assign_counting_node(tenant: str, nodes: Iterable[str]) -> Placement:
    """Chooses the counting node of `tenant`, and its successor, among `nodes`.

    When a node leaves, only its own tenants move, each to its former successor. When a node joins,
    it takes over about the same share of tenants from each of the others.
    """
    ranked = sorted(nodes, key=lambda node: (_weight(tenant, node), node), reverse=True)
    first = ranked[0] if ranked else None
    second = ranked[1] if len(ranked) > 1 else None
    return Placement(first, second)


def _weight(tenant: str, node: str) -> bytes:
    return hashlib.blake2b(f"{node}\0{tenant}".encode(), digest_size=8).digest()
