"""A queue in which tenants take turns, so that a busy tenant doesn't delay the others."""

from __future__ import annotations

import collections
from collections.abc import Iterable
from typing import Generic, TypeVar

__all__ = ["FairQueue"]

_Item = TypeVar("_Item")


class FairQueue(Generic[_Item]):
    """A queue that serves the tenants round-robin, and the items of each tenant in FIFO order."""

    __slots__ = ("_by_tenant", "_length")

    def __init__(self) -> None:
        """Creates an empty queue."""
        self._by_tenant: collections.OrderedDict[str, collections.deque[_Item]] = (
            collections.OrderedDict()
        )
        self._length = 0

    def __len__(self) -> int:
        """Returns the number of items."""
        return self._length

    def items_of(self, tenant: str) -> Iterable[_Item]:
        """Returns the items of a tenant in FIFO order."""
        return self._by_tenant.get(tenant, ())

    def append(self, tenant: str, item: _Item) -> None:
        """Adds an item after the other items of its tenant."""
        self._by_tenant.setdefault(tenant, collections.deque()).append(item)
        self._length += 1

    def prepend(self, tenant: str, item: _Item) -> None:
        """Puts an item at the front of the queue."""
        self._by_tenant.setdefault(tenant, collections.deque()).appendleft(item)
        self._by_tenant.move_to_end(tenant, last=False)
        self._length += 1

    def peek(self) -> tuple[str, _Item]:
        """Returns the tenant whose turn it is and its first item, without removing it."""
        tenant, items = next(iter(self._by_tenant.items()))
        return tenant, items[0]

    def pop(self) -> tuple[str, _Item]:
        """Removes and returns the first item; its tenant moves to the end of the rotation."""
        tenant, items = next(iter(self._by_tenant.items()))
        item = items.popleft()
        self._length -= 1
        if items:
            self._by_tenant.move_to_end(tenant)
        else:
            del self._by_tenant[tenant]
        return tenant, item

    def clear(self) -> list[_Item]:
        """Removes and returns all items."""
        items = [item for queue in self._by_tenant.values() for item in queue]
        self._by_tenant.clear()
        self._length = 0
        return items
