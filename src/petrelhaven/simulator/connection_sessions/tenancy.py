"""The tenants of a simulated fleet, as each version of its configuration has them."""

from __future__ import annotations

import dataclasses
import random
from typing import Any

from petrelhaven.runtime.key_digest import key_digest

__all__ = ["NO_LIMIT", "Tenancy", "TenantTerms", "Version"]

NO_LIMIT = -1
_LIMITS = ((NO_LIMIT, 0), (20, 10), (5, 0), (40, 20), (10, 0), (2, 4))
_KEYS_EACH = 2
_US_PER_S = 1_000_000
_PER_MILLE = 1_000


@dataclasses.dataclass(frozen=True)
class TenantTerms:
    """One tenant in one version; `rate` may be `NO_LIMIT`."""

    name: str
    keys: tuple[str, ...]
    rate: int
    burst: int

    def document(self) -> dict[str, Any]:
        """This tenant as the configuration has it."""
        return {
            "name": self.name,
            "keys": [key_digest(key) for key in self.keys],
            "rate": self.rate,
            "burst": self.burst,
        }


@dataclasses.dataclass
class Version:
    """The tenants of one version, when it was first sent and when it was first acknowledged."""

    number: int
    tenants: dict[str, TenantTerms]
    sent: float
    acknowledged: float | None = None

    def holder(self, key: str) -> str | None:
        """The name of the tenant that has `key`."""
        return next((t.name for t in self.tenants.values() if key in t.keys), None)


class Tenancy:
    """Makes the tenants' part of each version of the configuration, and keeps all versions.

    Attributes:
        window_s: The length of the windows in which limits hold.
        excess: By which part of its limit a window may exceed it.
        slack: By how many operations it may exceed it beside that.
        versions: What was sent, by number.
        hot: The names of the tenants that send as fast as they can.
    """

    def __init__(self, rng: random.Random, count: int) -> None:
        """Draws `count` tenants and the bounds by which limits are judged."""
        self._rng, self._keys_made = rng, 0
        self.window_s = rng.choice((2, 5, 15))
        self.excess = rng.choice((0.0, 0.1))
        self.slack = rng.choice((3, 20))
        self.versions: dict[int, Version] = {}
        self._next = {
            name: self._drawn(name, index)
            for index, name in enumerate(f"t{number + 1}" for number in range(count))
        }
        limited = [name for name, terms in self._next.items() if terms.rate != NO_LIMIT]
        self.hot = set(rng.sample(limited, len(limited) // 2))

    def _drawn(self, name: str, index: int) -> TenantTerms:
        rate, burst = _LIMITS[index % len(_LIMITS)]
        return TenantTerms(name, tuple(self._new_key() for _ in range(_KEYS_EACH)), rate, burst)

    def _new_key(self) -> str:
        self._keys_made += 1
        return f"key-{self._keys_made}-{self._rng.getrandbits(32):08x}"

    # The configuration

    def names(self) -> list[str]:
        """The tenants' names."""
        return sorted(self._next)

    def change(self, *tenants: TenantTerms) -> None:
        """The next versions have these terms."""
        self._next = {**self._next, **{tenant.name: tenant for tenant in tenants}}

    def terms(self, name: str) -> TenantTerms:
        """The terms of a tenant in the next version."""
        return self._next[name]

    def with_another_key(self, name: str) -> TenantTerms:
        """The terms of a tenant without its oldest key, with a new one."""
        terms = self._next[name]
        return dataclasses.replace(terms, keys=(*terms.keys[1:], self._new_key()))

    def without_key(self, name: str) -> TenantTerms:
        """The terms of a tenant without its oldest key."""
        terms = self._next[name]
        return dataclasses.replace(terms, keys=terms.keys[1:])

    def sent(self, number: int, now: float) -> Version:
        """The version `number`, made at its first sending from the terms of then."""
        return self.versions.setdefault(number, Version(number, dict(self._next), now))

    def acknowledged(self, number: int, now: float) -> None:
        """The operator got a clear answer to a version."""
        version = self.versions[number]
        if version.acknowledged is None:
            version.acknowledged = now

    def fields(self, number: int, now: float) -> dict[str, Any]:
        """The tenants' fields of the configuration."""
        tenants = self.sent(number, now).tenants.values()
        return {"keyed": True, "tenants": [tenant.document() for tenant in tenants]}

    def bounds(self) -> dict[str, int]:
        """The bounds of the configuration by which limits are judged."""
        return {
            "quota_window_us": int(self.window_s * _US_PER_S),
            "quota_excess": int(self.excess * _PER_MILLE),
            "quota_slack": self.slack,
        }

    # What clients show

    def key_to_show(self, name: str, rng: random.Random) -> str:
        """A key of a tenant; at times one that it has no more, or one that nobody ever had."""
        drawn, keys = rng.random(), self._next[name].keys
        if drawn < 0.04 or not keys:
            return rng.choice(("", "stranger", name, key_digest(keys[0]) if keys else name))
        if drawn < 0.08:
            return rng.choice(self._keys_ever(name))
        return rng.choice(keys)

    def _keys_ever(self, name: str) -> list[str]:
        ever = {key for v in self.versions.values() for key in v.tenants[name].keys}
        return sorted(ever)

    # What may run

    def most(self, terms: TenantTerms) -> float:
        """How many operations may run in a window."""
        if terms.rate == NO_LIMIT:
            return float("inf")
        nominal = terms.rate * self.window_s + terms.burst
        return nominal * (1 + self.excess) + self.slack

    def binding(self, since: int, until: float) -> list[Version]:
        """The versions from number `since` on that were sent by the moment `until`."""
        return [v for v in self.versions.values() if v.number >= since and v.sent <= until]

    def newest_acknowledged(self, by: float) -> int:
        """The number of the newest version that was acknowledged by then; 0 for none."""
        numbers = (
            v.number
            for v in self.versions.values()
            if v.acknowledged is not None and v.acknowledged <= by
        )
        return max(numbers, default=0)
