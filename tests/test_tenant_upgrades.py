"""Tenants during an upgrade of the programs, and tenant keys in the events of control nodes."""

import json
import sys
from pathlib import Path

import pytest

sys.path.insert(0, str(Path(__file__).parent.parent / "platform"))

from configuration_documents import configuration_text  # noqa: E402
from petrelhaven.control.interface.event_feed import EventFeed  # noqa: E402
from petrelhaven.control.state.control_state import ControlState  # noqa: E402
from petrelhaven.runtime.errors import Duplicate, VersionTaken  # noqa: E402
from petrelhaven.runtime.key_digest import key_digest  # noqa: E402

KEY = "aVeryClearKey"
DOCUMENT = {
    "Revision": 7,
    "Services": [{"Name": "db"}],
    "Routes": [{"Hostname": "h", "Service": "db", "TimeoutMs": 800}],
    "Tenants": [{"Name": "acme", "ApiKeys": [KEY], "RatePerS": 5, "Burst": 5}],
}


def record(document, **bounds):
    raw = json.dumps(document).encode()
    text = configuration_text(raw, ["a"], bounds)
    return {"t": "manifest", "text": text, "version": document["Revision"], "by": "operator"}


def state_after(change):
    state = ControlState()
    state.check(change)
    state.apply(1, change)
    return state


def test_a_resent_document_is_a_duplicate_although_another_version_made_another_text():
    """Guards against CONFIG: an acknowledged change that is sent again is refused with 409."""
    state = state_after(record(DOCUMENT, quota_slack=20))
    with pytest.raises(Duplicate):
        state.check(record(DOCUMENT, quota_slack=21))


def test_another_document_under_the_version_in_force_is_still_refused():
    """Guards against CONFIG: different content with the version in force is accepted."""
    state = state_after(record(DOCUMENT))
    with pytest.raises(VersionTaken):
        state.check(record({**DOCUMENT, "Tenants": []}))


def test_a_configuration_of_an_older_version_still_requires_tenant_keys():
    """Guards against ROUTE after an upgrade: clients without a key are admitted until the next change."""
    change = record(DOCUMENT)
    older_text = json.loads(change["text"])
    del older_text["keyed"], older_text["tenants"]
    state = state_after({**change, "text": json.dumps(older_text)})
    configuration = state.configuration
    assert configuration["keyed"]
    assert [row["keys"] for row in configuration["tenants"]] == [[key_digest(KEY)]]


def test_events_of_a_control_node_contain_no_key():
    """Guards against keys in a support bundle: records contain the operator's document."""

    class Store:
        recent_records = [(1, 1, record(DOCUMENT))]

    class Chain:
        store, committed_seq = Store(), 1
        control_state = state_after(record(DOCUMENT))

    events = json.dumps(EventFeed(Chain()).events_after(0))
    assert '"version": 7' in events
    assert KEY not in events
