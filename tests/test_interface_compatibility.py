"""Fault codes, event numbers and the keys of status documents are those of commit 3ca81ad."""

import json
from pathlib import Path

import pytest

from petrelhaven.control.interface.control_interface import ControlInterface
from petrelhaven.proxy.proxy_interface import ProxyInterface
from petrelhaven.runtime.errors import REGISTRY
from petrelhaven.runtime.events import EVENTS
from petrelhaven.simulator.connection_sessions.embargo import EmbargoedFleet
from petrelhaven.simulator.connection_sessions.fleet import SimulatedFleet
from petrelhaven.simulator.resumable.world import World
from petrelhaven.transport.light_http import LightHttpServer, Request

FIXTURE = Path(__file__).parent / "fixtures" / "interface_2026_12.json"


def expected():
    """The recorded interface."""
    return json.loads(FIXTURE.read_text())


def fault_values():
    """HTTP status, retry-after and the wider codes of every fault, by its code."""
    return {
        code: {
            "status": fault.status,
            "retry_after_us": fault.retry_after_us,
            "codes": _codes(fault),
        }
        for code, fault in sorted(REGISTRY.items())
    }


def _codes(fault):
    """The codes of a fault and of those that it is a special case of."""
    return [kind.code for kind in fault.__mro__ if "code" in vars(kind)]


def event_levels():
    """The level of every event, by its number."""
    return {str(number): event.level for number, event in sorted(EVENTS.items())}


def shape(value, names):
    """The keys of a document, recursively; a key that names a node, group or zone becomes `*`."""
    if isinstance(value, list | tuple):
        return _merged([shape(item, names) for item in value])
    if not isinstance(value, dict):
        return None
    found = {}
    for key, item in value.items():
        word = "*" if key in names else str(key)
        found.setdefault(word, []).append(shape(item, names))
    return {word: _merged(shapes) for word, shapes in sorted(found.items())}


def _merged(shapes):
    """One shape that has the keys of all."""
    maps = [one for one in shapes if one is not None]
    if not maps:
        return None
    keys = sorted({key for one in maps for key in one})
    return {key: _merged([one[key] for one in maps if key in one]) for key in keys}


async def _answer(http_server, path):
    status, body, _ = await http_server.answer(Request("GET", path, b""))
    assert status == 200, (path, status, body)
    return json.loads(body)


async def _held_documents(face_kind, node, names):
    http_server = LightHttpServer("127.0.0.1", 0)
    face_kind(node, http_server)
    return {path: shape(await _answer(http_server, path), names) for path in ("/status", "/belief")}


async def held_shapes(fleet_kind=SimulatedFleet):
    """The documents of a control node and a proxy where sessions live with their connection."""
    fleet = fleet_kind(1)
    await fleet.start()
    members = {member.name for group in fleet.groups.values() for member in group.members}
    names = {*fleet.net.machines, *fleet.groups, *members, "a", "b", "c"}
    control = next(machine.node for machine in fleet.cores if machine.node.chain.is_head)
    return {
        "control": await _held_documents(ControlInterface, control, names),
        "proxy": await _held_documents(ProxyInterface, fleet.edges[0].node, names),
    }


async def embargoed_shapes():
    """The same documents where groups are embargoed."""
    return await held_shapes(EmbargoedFleet)


async def kept_shapes():
    """The documents of a control node and a proxy where sessions are kept by proxies."""
    world = World(1, "small")
    await world.start()
    names = {*world.net.machines, "g1", "a", "b", "c"}
    control = next(machine.node for machine in world.cores if machine.node.chain.is_head)
    nodes = {"control": control, "proxy": world.edges[0].node}
    return {
        role: {
            "/status": shape(node.status(), names),
            "/belief": shape(node.reported_state(), names),
        }
        for role, node in nodes.items()
    }


SHAPES = {"embargoed": embargoed_shapes, "held": held_shapes, "kept": kept_shapes}


def test_fault_codes_and_statuses_are_as_recorded():
    assert fault_values() == expected()["faults"]


def test_event_numbers_and_levels_are_as_recorded():
    assert event_levels() == expected()["events"]


@pytest.mark.parametrize("kind", sorted(SHAPES))
def test_status_documents_have_the_recorded_keys(kind, warp):
    assert warp(SHAPES[kind]()) == expected()["documents"][kind]
