"""When the last node that might still act under a former view has certainly lost its majority."""

from __future__ import annotations

from collections.abc import Iterable
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from petrelhaven.control.consensus.node_report import NodeReport
    from petrelhaven.control.consensus.view import MemberDisks, View

__all__ = ["former_views_expire_at"]


def former_views_expire_at(
    view: View, reports: Iterable[NodeReport], at_us: int, wait_us: int
) -> int | None:
    """The moment from which no node acts under a view before `view`.

    None where the reports don't show it.

    A node acts under an older view only for a while after a majority confirmed that to it. Of any
    majority of a former view's members, one confirmed to it last; once they all hold the newer
    view, none will again.

    Args:
        view: The newest view.
        reports: What nodes reported since `view` was adopted, by the moment `at_us` or before.
        at_us: Clock microseconds.
        wait_us: How long a confirmation counts at most, clock drift included.
    """
    if view.former_members is None:
        return None
    # This node is among those it asked, too: each counts once.
    latest = list({report.name: report for report in reports}.values())
    expires_at = at_us
    for ids in view.former_members:
        moved = [report for report in latest if report.is_member_at_view(view.number, ids)]
        expiry = _expiry(ids, moved, at_us, wait_us)
        if expiry is None:
            return None
        expires_at = max(expires_at, expiry)
    return expires_at


def _expiry(ids: MemberDisks, moved: list[NodeReport], at_us: int, wait_us: int) -> int | None:
    """When no member of `members` acts under that view any more, given those that have moved on."""
    expires_at = at_us
    moved_names = {report.name for report in moved}
    for name in ids:
        if name in moved_names:
            continue
        if len(moved) <= len(ids) // 2:
            return None
        age_us = min(report.granted_us.get(name, report.up_us) for report in moved)
        expires_at = max(expires_at, at_us + wait_us - age_us)
    return expires_at
