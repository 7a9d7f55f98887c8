"""The replication of a stand-in member: it asks its primary for log entries and absorbs them."""

from __future__ import annotations

from collections.abc import Callable, Mapping
from typing import TYPE_CHECKING, Any

import aiohttp

if TYPE_CHECKING:
    from petrelhaven.emulator.member_journal import MemberJournal
    from petrelhaven.emulator.store import Store
    from petrelhaven.runtime.clock import Clock

__all__ = ["Replication"]

_REQUEST_LIMIT = aiohttp.ClientTimeout(total=2)
_IDLE_PAUSE_US = 20_000
_RETRY_DELAY_US = 50_000
_HTTP_OK = 200


class Replication:
    """Keeps a replica's log up to date with its primary's, some time behind."""

    def __init__(  # noqa: PLR0913, PLR0917 (the parts of a member)
        self,
        clock: Clock,
        http: aiohttp.ClientSession,
        store: Store,
        journal: MemberJournal,
        lag_us: int,
        on_entries: Callable[[], None],
    ) -> None:
        """Uses the parts of a member.

        Args:
            clock: Times the lag and the pauses.
            http: Calls the primary.
            store: The member's database.
            journal: Keeps what is received.
            lag_us: How long received entries wait before they are absorbed, in microseconds.
            on_entries: Called after entries were absorbed.
        """
        self._clock, self._http, self._store, self._journal = clock, http, store, journal
        self._lag_us, self._on_entries = lag_us, on_entries

    async def run(self) -> None:
        """Follows the primary, whichever it is, until cancelled."""
        while True:
            source = self._source()
            if source is None:
                await self._clock.sleep(_IDLE_PAUSE_US)
                continue
            feed = await self._request_feed(source)
            if feed is None:
                await self._clock.sleep(_RETRY_DELAY_US)
            elif feed["entries"] or feed["term"] != self._store.term:
                await self._clock.sleep(self._lag_us)
                self._absorb(feed, source)

    def _source(self) -> str | None:
        """The address to ask; None while this member receives nothing."""
        store = self._store
        if store.role != "replica" or store.stall or store.silent:
            return None
        return store.source or None

    async def _request_feed(self, source: str) -> Mapping[str, Any] | None:
        """Returns what the log lacks; None if the primary gives no feed."""
        store = self._store
        position = {"pos": store.log, "term": store.last_term(), "now": store.term}
        try:
            async with self._http.post(
                f"http://{source}/feed", json=position, timeout=_REQUEST_LIMIT
            ) as response:
                if response.status != _HTTP_OK:
                    return None
                feed: Mapping[str, Any] = await response.json()
                return feed
        except (aiohttp.ClientError, OSError, TimeoutError):
            return None

    def _absorb(self, feed: Mapping[str, Any], source: str) -> None:
        """Absorbs a feed, unless the member stalls or follows another primary by now."""
        store = self._store
        if store.stall or store.source != source:
            return
        former_term = store.term
        if feed["from"] == 0 and store.log:
            self._journal.reset()
        store.absorb(feed)
        self._journal.save_entries()
        self._on_entries()
        if store.term != former_term:
            self._journal.save_role()
