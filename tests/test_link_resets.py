"""Connections that are reset, or whose process stops, while they are being opened."""

import asyncio
import socket

import pytest
from virtual_io import LoopClock, run_in_virtual_time

from petrelhaven.runtime.errors import Fault, Unreachable
from petrelhaven.runtime.tasks import BackgroundTasks
from petrelhaven.transport.light_client import light_call
from petrelhaven.transport.link import Link
from petrelhaven.transport.message_kinds import MessageKind


@pytest.fixture
def reset_at_once(monkeypatch):
    """Resets each new connection before the code that opened it runs on."""
    original = asyncio.open_connection

    async def open_connection(*args, **options):
        reader, writer = await original(*args, **options)
        writer.transport.abort()
        await asyncio.sleep(0)
        await asyncio.sleep(0)
        return reader, writer

    monkeypatch.setattr(asyncio, "open_connection", open_connection)


def test_a_connection_that_is_reset_as_it_opens_is_lost_like_any_other(reset_at_once):
    """Guards against an OSError that ended the search for a control node for good (CONFIG)."""

    async def go():
        clock, tasks = LoopClock(), BackgroundTasks()
        server, client = Link(clock, tasks), Link(clock, tasks)
        address = await server.start()
        try:
            with pytest.raises(Fault):
                channel = await client.open(address)
                await channel.call(MessageKind.PEER_JOIN, {"src": "", "news": []}, 500_000)
        finally:
            await server.close()
            await asyncio.sleep(0.1)
            tasks.kill()

    run_in_virtual_time(go())


def test_a_request_whose_connection_is_reset_as_it_opens_has_an_unknown_outcome(reset_at_once):
    """Guards against an OSError in place of a fault, which ends the task that sent the request."""

    async def accept(_reader, writer):
        writer.close()

    async def go():
        server = await asyncio.start_server(accept, "127.0.0.1", 0)
        host, port = server.sockets[0].getsockname()
        try:
            with pytest.raises(Unreachable):
                await light_call(LoopClock(), f"{host}:{port}", "GET", "/")
        finally:
            server.close()
            await asyncio.sleep(0.1)

    run_in_virtual_time(go())


@pytest.mark.parametrize("steps", range(6))
def test_a_stop_while_a_connection_is_accepted_is_no_error(steps):
    """Guards against a traceback in the log of a process that stops, at each step of the event loop."""

    async def go():
        errors = []
        asyncio.get_running_loop().set_exception_handler(lambda _, error: errors.append(error))
        tasks = BackgroundTasks()
        server = Link(LoopClock(), tasks)
        host, port = (await server.start()).split(":")
        before = asyncio.all_tasks()
        with socket.create_connection((host, int(port))):
            while not asyncio.all_tasks() - before:
                await asyncio.sleep(0)
            for _ in range(steps):
                await asyncio.sleep(0)
            for task in asyncio.all_tasks() - before:
                task.cancel()
            await asyncio.sleep(0.05)
        await server.close()
        tasks.kill()
        return errors

    assert asyncio.run(go()) == []
