"""Bounds of the settings file for tenants: revoked keys at disconnected proxies, and quotas."""

import json
from types import SimpleNamespace

import pytest
from test_platform_boot import EDGE
from test_tenant_configuration import ACME, BOLT, KEY, OTHER_KEY, PUBLIC, document, play

from boot import load_boot_settings  # isort: skip
from configuration_documents import configuration_text  # isort: skip
from petrelhaven.control.configuration.parsing import parse_configuration
from petrelhaven.control.interface.event_feed import EventFeed
from petrelhaven.control.state.control_state import ControlState
from petrelhaven.runtime.errors import Duplicate

REVOKE_US = 5_000_000
LIMITED = {**ACME, "RatePerS": 5, "Burst": 5}


def load_settings(tmp_path, **bounds):
    bound_lines = "".join(f"{name} = {json.dumps(value)}\n" for name, value in bounds.items())
    path = tmp_path / "boot.toml"
    path.write_text(EDGE.replace("[Bounds]\n", f"[Bounds]\n{bound_lines}"))
    return load_boot_settings(str(path))


# Keys at a disconnected proxy


def run_disconnected(revoke_us, age_us):
    """Returns the replies of a proxy whose control state is `age_us` old, and the committed values."""

    async def script(fleet):
        fleet.proxy._revoke_us = revoke_us
        fleet.core_connection.state_age_us = 0
        first_session, transaction_session, public_session = (
            fleet.session(),
            fleet.session(OTHER_KEY),
            None,
        )
        public_session = fleet.session("k-none", "open")
        assert [end for end, _ in await transaction_session.ask("BEGIN", "PUT a 1")] == [
            "COMPLETE"
        ] * 2
        fleet.core_connection.state_age_us = age_us
        outcomes = [
            await session.ask("PUT b 1")
            for session in (first_session, transaction_session, public_session)
        ]
        fleet.core_connection.state_age_us = 0
        after_reconnect = await first_session.ask("PUT c 1")
        return [end for ((end, _),) in [*outcomes, after_reconnect]], fleet.wire_member.committed

    return play(document(ACME, BOLT), script)[0]


def test_a_disconnected_proxy_runs_nothing_for_a_key_that_may_be_revoked():
    # Rule CONFIG with RevokeGlobal: a disconnected proxy accepted a revoked key for longer than RevokeMs
    outcomes, committed = run_disconnected(REVOKE_US, REVOKE_US)
    assert outcomes == ["BUSY", "ABORTED", "COMPLETE", "COMPLETE"]
    assert committed == {"b": "1", "c": "1"}


@pytest.mark.parametrize(("revoke_us", "age_us"), [(None, 1 << 50), (REVOKE_US, REVOKE_US // 2)])
def test_a_disconnected_proxy_serves_keys_as_long_as_the_bound_allows(revoke_us, age_us):
    # Keys were denied at a disconnected proxy although RevokeGlobal is false, or before RevokeMs.
    outcomes, _ = run_disconnected(revoke_us, age_us)
    assert outcomes == ["COMPLETE"] * 4


@pytest.mark.parametrize(
    ("bounds", "revoke_us"),
    [
        ({"RevokeGlobal": True, "RevokeMs": 4000}, 4_000_000),
        ({"RevokeGlobal": True}, REVOKE_US),
        ({"RevokeGlobal": False, "RevokeMs": 4000}, None),
        ({"RevokeMs": 4000}, None),
        ({}, None),
    ],
)
def test_the_revocation_bound_is_read_from_the_settings_file(tmp_path, bounds, revoke_us):
    # Rule CONFIG with RevokeGlobal: the bound was ignored
    assert load_settings(tmp_path, **bounds).revoke_us == revoke_us


@pytest.mark.parametrize("bounds", [{"RevokeGlobal": 1}, {"RevokeMs": -1}, {"QuotaWindowS": "5"}])
def test_an_invalid_bound_rejects_the_settings_file_by_name(tmp_path, bounds):
    # Keys or limits were checked against a bound that the operator didn't intend.
    with pytest.raises(ExceptionGroup) as rejected:
        load_settings(tmp_path, **bounds)
    (fault,) = rejected.value.exceptions
    assert str(fault).startswith(f"Bounds.{next(iter(bounds))}: ")


# Quota bounds


def test_the_quota_bounds_are_read_from_the_settings_file(tmp_path):
    # Rule QUOTA: operations were counted in windows of another length or with another excess than configured
    settings = load_settings(tmp_path, QuotaWindowS=2.5, QuotaExcess=0.25, QuotaSlack=7)
    text = configuration_text(json.dumps(document(LIMITED)).encode(), ["a"], settings.quota_bounds)
    bounds = parse_configuration(text).bounds
    assert (bounds.quota_window_us, bounds.quota_excess, bounds.quota_slack) == (2_500_000, 250, 7)
    assert load_settings(tmp_path).quota_bounds == {}


@pytest.mark.parametrize(
    "bounds",
    [{"QuotaWindowS": 0.05}, {"QuotaExcess": 20}, {"QuotaSlack": 2_000_000}],
    ids=["short-window", "much-excess", "much-slack"],
)
def test_no_bound_of_a_settings_file_makes_every_configuration_invalid(tmp_path, bounds):
    # A settings file was accepted, and then every valid configuration with tenants got a 422 that named none of its
    # fields.
    try:
        quota_bounds = load_settings(tmp_path, **bounds).quota_bounds
    except ExceptionGroup:
        return
    document_bytes = json.dumps(document(LIMITED)).encode()
    parse_configuration(configuration_text(document_bytes, ["a"], quota_bounds))


def test_a_repeated_change_at_a_control_node_with_other_bounds_is_acknowledged():
    # Rule CONFIG: a repeated acknowledged change was rejected although no other change was made since
    document_bytes = json.dumps(document(LIMITED, routes=[PUBLIC])).encode()
    texts = [
        configuration_text(document_bytes, ["a"], {"quota_slack": slack}) for slack in (20, 25)
    ]
    records = [{"t": "manifest", "text": text, "version": 1} for text in texts]
    control_state = ControlState()
    control_state.apply(1, records[0])
    with pytest.raises(Duplicate):
        control_state.check(records[1])


def test_only_the_origin_of_a_configuration_contains_keys():
    # A key stood in clear text in a part of the configuration that more requests return than `origin`.
    text = configuration_text(json.dumps(document(LIMITED, BOLT)).encode(), ["a"])
    configuration = json.loads(text)
    assert KEY in configuration.pop("origin")
    assert KEY not in json.dumps(configuration) and OTHER_KEY not in json.dumps(configuration)


def test_events_contain_no_key_of_a_configuration_from_an_older_version():
    # External programs received keys in records from before tenants were supported.
    configuration = json.loads(configuration_text(json.dumps(document(LIMITED)).encode(), ["a"]))
    del configuration["keyed"], configuration["tenants"]
    record = {"t": "manifest", "text": json.dumps(configuration), "version": 1}
    control_state = ControlState()
    control_state.apply(1, record)
    chain = SimpleNamespace(
        store=SimpleNamespace(recent_records=[(1, 1, record)]),
        committed_seq=1,
        control_state=control_state,
    )
    events = EventFeed(chain).events_after(0)
    assert len(events) == 1 and KEY not in json.dumps(events)
