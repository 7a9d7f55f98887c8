"""When the last node that could still act under an earlier view has lost its majority."""

from __future__ import annotations

from collections.abc import Iterable
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from petrelhaven.control.consensus.node_report import NodeReport
    from petrelhaven.control.consensus.view import MemberDisks, View

__all__ = ["former_views_expire_at"]


def former_views_expire_at(
    view: View, reports: Iterable[NodeReport], at_us: int, max_validity_us: int
) -> int | None:
    """Returns the clock time from which no node acts under a view earlier than `view`.

    A node acts under an earlier view only for a limited time after a majority of its members
    confirmed that view. Members that have adopted the newer view confirm no earlier one. If they
    are a majority, every other majority includes one of them, so their last confirmation to a node
    bounds the time for which that node acts under the earlier view.

    Args:
        view: The newest view.
        reports: Reports that were received after `view` was adopted, at `at_us` or before.
        at_us: Clock time in microseconds.
        max_validity_us: Longest time that a confirmation is valid, including clock drift.

    Returns:
        The time, or None if the reports are not sufficient.
    """
    if view.former_members is None:
        return None
    # A node also receives its own report: each node must count once.
    latest = list({report.name: report for report in reports}.values())
    expires_at = at_us
    for members in view.former_members:
        moved = [report for report in latest if report.is_member_at_view(view.number, members)]
        view_expires_at = _view_expires_at(members, moved, at_us, max_validity_us)
        if view_expires_at is None:
            return None
        expires_at = max(expires_at, view_expires_at)
    return expires_at


def _view_expires_at(
    members: MemberDisks, moved: list[NodeReport], at_us: int, max_validity_us: int
) -> int | None:
    """Returns when no member of one earlier view acts under that view.

    Args:
        members: The members of the earlier view.
        moved: Reports of those members that have adopted the newer view.
        at_us: Clock time in microseconds.
        max_validity_us: Longest time that a confirmation is valid, including clock drift.
    """
    expires_at = at_us
    moved_names = {report.name for report in moved}
    for name in members:
        if name in moved_names:
            continue
        if len(moved) <= len(members) // 2:
            return None
        age_us = min(report.granted_us.get(name, report.up_us) for report in moved)
        expires_at = max(expires_at, at_us + max_validity_us - age_us)
    return expires_at
