"""Fields of an acknowledged configuration that have no effect are found, so that they can be logged."""

import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).parent.parent / "platform"))

from unread_fields import unread_fields  # noqa: E402

DOCUMENT = {
    "Revision": 7,
    "Routes": [
        {"Name": "r", "Hostname": "db", "Service": "svc", "TimeoutMs": 800, "RegionsAllowed": []},
        {"Name": "q", "Hostname": "db2", "Service": "svc", "TimeoutMs": 800, "MaxTries": 2},
    ],
    "Services": [{"Name": "svc", "ConnLimit": 68, "WarmupRateS": 0.0}],
    "Limits": {"TxnIdleMs": 3000},
}


def test_a_document_without_unread_fields_reports_nothing():
    """Guards against a warning at every configuration, which operators would learn to ignore."""
    rows = [{k: v for k, v in row.items() if k != "MaxTries"} for row in DOCUMENT["Routes"]]
    assert unread_fields({**DOCUMENT, "Routes": rows}) == []


def test_unread_sections_and_fields_are_reported_once():
    """Guards against silently ignored fields (the incident of issue 30)."""
    document = {
        **DOCUMENT,
        "Services": [{"Name": "a", "WarmupRateS": 2.0}, {"Name": "b", "WarmupRateS": 1.0}],
        "Quarters": [{"Name": "x"}],
    }
    assert unread_fields(document) == ["Quarters", "Routes.MaxTries", "Services.WarmupRateS"]
