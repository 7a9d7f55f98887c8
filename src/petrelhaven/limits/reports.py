"""What proxies and counting nodes tell each other about permits.

All numbers of an account only grow, so a message that is doubled, late or lost changes nothing that
the next one doesn't put right.
"""

from __future__ import annotations

from typing import NamedTuple

__all__ = ["AccountReport", "Grant"]


class AccountReport(NamedTuple):
    """What a proxy reports of its permits for one tenant.

    Attributes:
        tenant: The tenant.
        account: Which account of this proxy; a new one begins once permits have expired.
        granted: How many permits it has received in all.
        used: How many of them it has used.
        returned: How many it has given back.
        needed: How many operations wait for a permit.
        wanted: How many permits it would hold beside those.
    """

    tenant: str
    account: int
    granted: int
    used: int
    returned: int
    needed: int
    wanted: int


class Grant(NamedTuple):
    """What the counting node answers to an `AccountReport`.

    Attributes:
        tenant: The tenant.
        account: The account.
        granted: How many permits the account has been granted in all.
        retry_us: When operations that got no permit should come back; 0 if none went without.
    """

    tenant: str
    account: int
    granted: int
    retry_us: int
