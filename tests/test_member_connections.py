"""Connections to members: replies go to the requests that they answer, or there is a typed fault."""

import asyncio
import json
import socket

import pytest
from hypothesis import Phase, given, settings
from hypothesis import strategies as st
from proxy_harness import CONFIG, FakeTransport

from configuration_documents import configuration_text, internal_name
from member_connections import LineMemberConnection, LineProtocolConnector
from petrelhaven.control.state.control_state import ControlState
from petrelhaven.proxy.session.statement import Statement
from petrelhaven.runtime.clock import Clock
from petrelhaven.runtime.errors import (
    Busy,
    Fault,
    MemberDeclined,
    MemberReplaced,
    NotSent,
    Unreachable,
)
from petrelhaven.simulator.virtual_time import WarpLoop, end_all
from statements import MAX_LINE_BYTES

DRAWN = settings(
    max_examples=60, phases=[Phase.generate], deadline=None, derandomize=True, database=None
)


class FakeMemberTransport(FakeTransport):
    def close(self):
        self.closed = True


def member_connection():
    c = LineMemberConnection()
    c.connection_made(FakeMemberTransport())
    c.drops = []
    c.on_lost = c.drops.append
    return c


def run(fn):
    loop = WarpLoop()
    asyncio.set_event_loop(loop)

    async def go():
        return await fn()

    try:
        return loop.run_until_complete(go())
    finally:
        end_all(loop)
        loop.close()
        asyncio.set_event_loop(None)


ASK = Statement("7f", "read", "FETCH k")
ROWS = st.lists(
    st.binary(max_size=12).filter(lambda b: b"\r\n" not in b and not b.endswith(b"\r")), max_size=3
)


@DRAWN
@given(st.lists(ROWS, min_size=1, max_size=4), st.randoms(use_true_random=False))
def test_replies_of_a_member_are_those_asked_for_in_whatever_pieces(all_rows, rng):
    async def go():
        c = member_connection()
        fs = [c.send_statement(ASK) for _ in all_rows]
        raw = b"".join(
            b"".join(b"ROW %s\r\n" % r for r in rows) + b"COMPLETE s%d\r\nREADY I 3.%d\r\n" % (i, i)
            for i, rows in enumerate(all_rows)
        )
        while raw:
            n = rng.randint(1, 7)
            c.data_received(raw[:n])
            raw = raw[n:]
        for i, (f, rows) in enumerate(zip(fs, all_rows)):
            r = f.result()
            assert [x.encode("utf-8", "surrogateescape") for x in r.rows] == rows
            assert (r.stamp, r.state, r.position, r.ok) == (f"s{i}", "I", (3, i), True)
        assert not c.lost

    run(go)


@pytest.mark.parametrize(
    "raw",
    [
        b"READY I 3.1\r\n",
        b"ROW a\r\nREADY I 3.1\r\n",
        b"COMPLETE s\r\nROW a\r\nREADY I 3.1\r\n",
        b"COMPLETE s\r\nCOMPLETE t\r\nREADY I -\r\n",
        b"ERROR BUSY x\r\nCOMPLETE t\r\nREADY I -\r\n",
        "COMPLETE s\r\nREADY I ².1\r\n".encode(),
        b"ROW " + b"x" * (MAX_LINE_BYTES + 9),
    ],
)
def test_a_reply_out_of_order_is_no_reply(raw):
    async def go():
        connection = member_connection()
        future = connection.send_statement(ASK)
        connection.data_received(raw)
        assert connection.lost and connection.drops == [connection] and connection._transport.closed
        assert isinstance(future.exception(), Unreachable)
        assert isinstance(connection.send_statement(ASK).exception(), Unreachable)

    run(go)


@pytest.mark.parametrize(
    "raw", [b"READY I 3.1\r\n", b"ROW a\r\n", b"COMPLETE s\r\n", b"ERROR BUSY x\r\n"]
)
def test_an_unsolicited_member_message_closes_the_connection(raw):
    async def go():
        connection = member_connection()
        future = connection.send_statement(ASK)
        connection.data_received(b"COMPLETE s\r\nREADY I 3.1\r\n" + raw)
        assert future.result().ok and future.result().rows == [] and connection.lost

    run(go)


@DRAWN
@given(st.binary(max_size=60), st.booleans())
def test_whatever_a_member_says_ends_as_a_reply_or_a_typed_fault(raw, ends):
    async def go():
        c = member_connection()
        fs = [c.connect("g", "m", "me"), c.send_command("status"), c.send_statement(ASK)]
        c.data_received(raw + b"\r\n" * ends)
        c.connection_lost(None)
        for f in fs:
            assert f.done() and (f.exception() is None or type(f.exception()) is not Fault)
            assert f.exception() is None or isinstance(f.exception(), Fault)

    run(go)


def test_a_status_is_a_row_or_a_typed_fault():
    async def go():
        connection = member_connection()
        futures = [connection.send_command("status") for _ in range(4)]
        connection.data_received(
            b"ROW primary 3 3.9 0 0 1 2\r\nCOMPLETE -\r\nREADY I 3.9\r\nERROR BUSY x\r\nREADY I 3.9\r\n"
            b"ROW odd\r\nCOMPLETE -\r\nREADY I 3.9\r\nERROR NOSTMT x\r\nREADY I 3.9\r\n"
        )
        assert futures[0].result()["pos"] == (3, 9)
        assert [type(future.exception()) for future in futures[1:]] == [
            Busy,
            MemberDeclined,
            MemberDeclined,
        ]
        assert not connection.lost

    run(go)


def test_a_reply_to_a_cancelled_request_is_not_given_to_the_next():
    async def go():
        connection = member_connection()
        a, b = connection.send_statement(ASK), connection.send_statement(ASK)
        a.cancel()
        connection.data_received(
            b"ROW old\r\nCOMPLETE s\r\nREADY I 3.1\r\nROW new\r\nCOMPLETE t\r\nREADY I 3.2\r\n"
        )
        assert b.result().rows == ["new"] and b.result().stamp == "t"

    run(go)


def loopback(fn):
    """Runs `fn(connector, serve)`; `serve(script)` starts a member that replies to its first message with `script`."""

    async def go():
        ends = []

        async def serve(script):
            got = []

            async def talk(r, w):
                ends.append(w)
                got.append(await r.readline())
                if script is None:
                    return
                for part in script:
                    w.write(part)
                    await w.drain()
                w.close()

            s = await asyncio.start_server(talk, "127.0.0.1", 0)
            ends.append(s)
            return "127.0.0.1:%d" % s.sockets[0].getsockname()[1], got

        try:
            await fn(LineProtocolConnector(Clock()), serve)
        finally:
            for e in ends:
                e.close()

    asyncio.run(go())


def test_faults_while_opening_a_member_connection():
    async def go(connector, serve):
        for script, fault in (
            ([b"ERROR WRONGNODE i-2\r\n"], MemberReplaced),
            ([b"ERROR CONNLIMIT 40\r\n"], Busy),
            ([b"ERROR BUSY x\r\n"], Busy),
            ([b"ERROR ODD x\r\n"], Busy),
            ([], Busy),
            ([b"ROW x\r\nREADY I -\r\n"], Busy),
            ([b"\xff\r\nnonsense"], Busy),
        ):
            a, _ = await serve(script)
            with pytest.raises(fault) as e:
                await connector.open(a, "svc", "i-1", 2_000_000)
            assert type(e.value) is fault, script
        a, _ = await serve(None)
        with pytest.raises(NotSent) as e:
            await connector.open(a, "svc", "i-1", 30_000)
        assert e.value.note == "mute"
        with socket.socket() as s:
            s.bind(("127.0.0.1", 0))
            with pytest.raises(NotSent) as e:
                await connector.open("127.0.0.1:%d" % s.getsockname()[1], "svc", "i-1", 2_000_000)
        assert e.value.note == "refused"

    loopback(go)


@pytest.mark.parametrize("name", ["svc", "Huvo.1_a", "x-odd", "bö", "S" * 64, "ü" * 64])
def test_connect_uses_the_platforms_service_name(name):
    config = {
        **CONFIG,
        "Services": [{"Name": name}],
        "Routes": [{**CONFIG["Routes"][0], "Service": name}],
    }
    control_state = ControlState()
    control_state.apply(
        1,
        {
            "t": "manifest",
            "text": configuration_text(json.dumps(config).encode(), ["a"]),
            "version": 1,
        },
    )
    assert control_state.configuration["groups"][0]["name"] == internal_name(name)

    async def go(connector, serve):
        address, got = await serve([b"REA", b"DY I 3.1\r\n"])
        connection = await connector.open(address, internal_name(name), "i-1", 2_000_000)
        assert got == [f"CONNECT {name} petrelhaven i-1\r\n".encode()]
        connection.close()

    loopback(go)
