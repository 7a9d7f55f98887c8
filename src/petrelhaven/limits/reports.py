"""Messages about permits between proxies and counting nodes.

The totals of an account only grow, so the next message repairs the effect of a duplicated, late or
lost one.
"""

from __future__ import annotations

from typing import NamedTuple

__all__ = ["AccountReport", "Grant"]


class AccountReport(NamedTuple):
    """A proxy's report on its permits for one tenant.

    Attributes:
        tenant: The tenant.
        account: The number of the proxy's account; a new one starts when permits have expired.
        granted: How many permits the account has received in total.
        used: How many of them were used.
        returned: How many of them were returned.
        needed: How many operations wait for a permit.
        wanted: How many permits the proxy requests in advance, beyond those needed.
    """

    tenant: str
    account: int
    granted: int
    used: int
    returned: int
    needed: int
    wanted: int


class Grant(NamedTuple):
    """The counting node's answer to an `AccountReport`.

    Attributes:
        tenant: The tenant.
        account: The account.
        granted: How many permits the account has been granted in total.
        retry_us: The delay before operations without a permit should be retried; 0 if all got one.
    """

    tenant: str
    account: int
    granted: int
    retry_us: int
