"""Messages between processes are encoded to the same bytes as by commit 3ca81ad.

Bodies larger than 1 KiB are compressed: their bytes also depend on the zlib version named in the fixture.
"""

import json
from pathlib import Path

import pytest

from petrelhaven.transport.contracts import KINDS
from petrelhaven.transport.messages import CALL, DATAGRAM, FAULT, RESULT, VERSION, pack, unpack

FIXTURE = json.loads((Path(__file__).parent / "fixtures" / "messages_2026_12.json").read_text())
FLOWS = {"call": CALL, "result": RESULT, "fault": FAULT, "tell": DATAGRAM}


def repeats():
    """Returns for each kind whether its calls may be repeated."""
    return {kind: contract.repeat.value for kind, contract in KINDS.items()}


def test_version_and_flows_are_as_recorded():
    assert VERSION == FIXTURE["version"]
    assert FLOWS == FIXTURE["flows"]


def test_kinds_and_their_repeats_are_as_recorded():
    assert repeats() == FIXTURE["repeats"]


def test_every_kind_is_recorded_in_every_flow():
    recorded = {(message["kind"], message["flow"]) for message in FIXTURE["messages"]}
    assert recorded == {(kind, flow) for kind in FIXTURE["repeats"] for flow in FLOWS}


@pytest.mark.parametrize("kind", sorted(FIXTURE["repeats"]))
def test_messages_are_packed_to_the_same_bytes(kind):
    for message in FIXTURE["messages"]:
        if message["kind"] == kind:
            flow = FLOWS[message["flow"]]
            packed = pack(kind, flow, message["number"], message["body"])
            assert packed.hex() == message["bytes"], message


@pytest.mark.parametrize("kind", sorted(FIXTURE["repeats"]))
def test_messages_are_unpacked_to_the_same_bodies(kind):
    for message in FIXTURE["messages"]:
        if message["kind"] == kind:
            found = unpack(bytes.fromhex(message["bytes"]))
            assert found.kind == kind
            assert found.flow == FLOWS[message["flow"]]
            assert found.number == message["number"]
            assert found.body == message["body"]
