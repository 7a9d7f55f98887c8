"""Fault codes, event numbers and keys of status documents must stay those of commit 3ca81ad."""

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
    """Returns the recorded interface."""
    return json.loads(FIXTURE.read_text())


def fault_values():
    """Returns HTTP status, retry delay and class codes of every fault, by its code."""
    return {
        code: {
            "status": fault.status,
            "retry_after_us": fault.retry_after_us,
            "codes": _codes(fault),
        }
        for code, fault in sorted(REGISTRY.items())
    }


def _codes(fault):
    """Returns the codes of a fault and of its base classes."""
    return [kind.code for kind in fault.__mro__ if "code" in vars(kind)]


def event_levels():
    """Returns the level of every event, by its number."""
    return {str(number): event.level for number, event in sorted(EVENTS.items())}


def shape(value, names):
    """Returns the keys of a document recursively; names of nodes, groups and zones become `*`."""
    if isinstance(value, list | tuple):
        return _merged([shape(item, names) for item in value])
    if not isinstance(value, dict):
        return None
    shapes_by_key = {}
    for key, item in value.items():
        key_or_wildcard = "*" if key in names else str(key)
        shapes_by_key.setdefault(key_or_wildcard, []).append(shape(item, names))
    return {
        key_or_wildcard: _merged(shapes)
        for key_or_wildcard, shapes in sorted(shapes_by_key.items())
    }


def _merged(shapes):
    """Merges shapes into one that has the keys of all."""
    documents = [document for document in shapes if document is not None]
    if not documents:
        return None
    keys = sorted({key for document in documents for key in document})
    return {
        key: _merged([document[key] for document in documents if key in document]) for key in keys
    }


async def _fetch(http_server, path):
    status, body, _ = await http_server.answer(Request("GET", path, b""))
    assert status == 200, (path, status, body)
    return json.loads(body)


async def _fetch_documents(interface_class, node, names):
    http_server = LightHttpServer("127.0.0.1", 0)
    interface_class(node, http_server)
    return {path: shape(await _fetch(http_server, path), names) for path in ("/status", "/belief")}


async def connection_session_shapes(fleet_class=SimulatedFleet):
    """Returns the documents of a control node and a proxy with connection sessions."""
    fleet = fleet_class(1)
    await fleet.start()
    members = {member.name for group in fleet.groups.values() for member in group.members}
    names = {*fleet.net.machines, *fleet.groups, *members, "a", "b", "c"}
    control = next(machine.node for machine in fleet.cores if machine.node.chain.is_head)
    return {
        "control": await _fetch_documents(ControlInterface, control, names),
        "proxy": await _fetch_documents(ProxyInterface, fleet.edges[0].node, names),
    }


async def embargoed_shapes():
    """Returns the documents with connection sessions and embargoed groups."""
    return await connection_session_shapes(EmbargoedFleet)


async def resumable_session_shapes():
    """Returns the documents of a control node and a proxy with resumable sessions."""
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


SHAPES = {
    "embargoed": embargoed_shapes,
    "held": connection_session_shapes,
    "kept": resumable_session_shapes,
}


def test_fault_codes_and_statuses_are_as_recorded():
    assert fault_values() == expected()["faults"]


def test_event_numbers_and_levels_are_as_recorded():
    assert event_levels() == expected()["events"]


@pytest.mark.parametrize("kind", sorted(SHAPES))
def test_status_documents_have_the_recorded_keys(kind, warp):
    assert warp(SHAPES[kind]()) == expected()["documents"][kind]
