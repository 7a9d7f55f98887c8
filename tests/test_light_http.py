"""The light HTTP server and client.

The server answers any input with one typed response or closes the connection. A client call has a typed outcome.
"""

import asyncio
import json
import socket

import h11
import pytest
from hypothesis import Phase, given, settings
from hypothesis import strategies as st
from virtual_io import LoopClock, run_in_virtual_time

from petrelhaven.runtime.errors import (
    DeadlineExceeded,
    Fault,
    NotReady,
    NotSent,
    Stale,
    Unreachable,
)
from petrelhaven.simulator.virtual_time import WarpLoop, end_all
from petrelhaven.transport.light_client import light_call
from petrelhaven.transport.light_http import LightHttpServer

DRAWN = settings(
    max_examples=120, phases=[Phase.generate], deadline=None, derandomize=True, database=None
)
MAX_BODY_BYTES = 1000


class RecordingServer:
    """A server whose handlers record their arguments."""

    def __init__(self):
        self.calls, self.pending_response = [], None
        self.http_server = LightHttpServer("127.0.0.1", 0, max_body_bytes=MAX_BODY_BYTES)

        async def echo(request):
            self.calls.append(("echo", request.body))
            return request.body

        async def below(request, segment):
            self.calls.append(("below", segment))
            return {"rest": segment}

        async def doc(request):
            return request.doc()

        async def wait(request):
            await self.pending_response
            return {}

        async def fail(request):
            raise {
                "/stale": Stale("old", details={"n": 1}),
                "/busy": NotReady("soon"),
                "/fault": ValueError("x"),
                "/deep": RecursionError(),
            }[request.path]

        async def custom_response(request):
            return 204, b"", (("X-More", "1"),)

        async def not_serializable(request):
            return {"x": object()}

        for verb, path, handler in (
            ("POST", "/echo", echo),
            ("GET", "/echo", echo),
            ("GET", "/below/", below),
            ("POST", "/doc", doc),
            ("GET", "/held", wait),
            ("GET", "/shaped", custom_response),
            ("GET", "/unshaped", not_serializable),
            *(("GET", f"/{name}", fail) for name in ("stale", "busy", "fault", "deep")),
        ):
            self.http_server.on(verb, path, handler)


class Transport:
    def __init__(self):
        self.out, self.closed, self.protocol, self.written_after_close = b"", False, None, b""

    def write(self, data):
        if self.closed:
            self.written_after_close += data
        else:
            self.out += data

    def is_closing(self):
        return self.closed

    def close(self):
        if not self.closed:
            self.closed = True
            asyncio.get_running_loop().call_soon(self.protocol.connection_lost, None)


class ConnectionMaker:
    """Replaces the listening socket: creates the protocol of one connection."""

    def __init__(self, recording_server):
        self.recording_server = recording_server

    async def open(self):
        loop = asyncio.get_running_loop()
        factories = []

        async def create_server(factory, *_, **__):
            factories.append(factory)
            listener = type("S", (), {"sockets": [self], "close": lambda _: None})()
            return listener

        loop.create_server, self.getsockname = create_server, lambda: ("127.0.0.1", 1)
        await self.recording_server.http_server.start()
        transport = Transport()
        transport.protocol = factories[0]()
        transport.protocol.connection_made(transport)
        return transport.protocol, transport


def talk(fn):
    """Runs `fn(recording_server, protocol, transport)` in virtual time and returns its result."""
    loop = WarpLoop()
    asyncio.set_event_loop(loop)
    loop_errors = []
    loop.set_exception_handler(lambda _, context: loop_errors.append(context))

    async def go():
        recording_server = RecordingServer()
        protocol, transport = await ConnectionMaker(recording_server).open()
        return await fn(recording_server, protocol, transport)

    try:
        result = loop.run_until_complete(go())
    finally:
        end_all(loop)
        loop.close()
        asyncio.set_event_loop(None)
    assert not loop_errors, loop_errors
    return result


def answers(out, verbs=("GET",)):
    """Parses responses; returns (status, headers, body) of each."""
    client, responses = h11.Connection(h11.CLIENT), []
    if not out:
        return responses
    client.receive_data(out)
    for verb in [*verbs, *["GET"] * 20]:
        client.send(h11.Request(method=verb, target="/", headers=[("Host", "x")]))
        client.send(h11.EndOfMessage())
        body = b""
        while True:
            event = client.next_event()
            if event is h11.NEED_DATA or type(event) is h11.ConnectionClosed:
                assert client.trailing_data[0] == b""
                return responses
            if type(event) is h11.Response:
                response = event
            elif type(event) is h11.Data:
                body += bytes(event.data)
            elif type(event) is h11.EndOfMessage:
                break
        responses.append(
            (
                response.status_code,
                {name.decode(): value.decode() for name, value in response.headers},
                body,
            )
        )
        if client.our_state is not h11.DONE or client.their_state is not h11.DONE:
            return responses
        client.start_next_cycle()
    return responses


def get(path, verb="GET", body=b"", heads=""):
    return (
        f"{verb} {path} HTTP/1.1\r\nHost: x\r\n{heads}Content-Length: {len(body)}\r\n\r\n".encode()
        + body
    )


def one(raw, verb="GET"):
    async def go(server, protocol, transport):
        protocol.data_received(raw)
        await asyncio.sleep(1)
        return answers(transport.out, (verb,)), transport.closed, server.calls

    return talk(go)


@pytest.mark.parametrize(
    ("path", "status", "fault"),
    [
        ("/none", 404, "http"),
        ("/", 404, "http"),
        ("/below/", 404, "http"),
        ("/below", 404, "http"),
        ("/echo/x", 404, "http"),
        ("/below/a/b", 404, "http"),
        ("//", 404, "http"),
        ("*", 404, "http"),
        ("http://x/echo", 404, "http"),
        ("/stale", 409, "stale"),
        ("/busy", 503, "not-ready"),
        ("/fault", 500, "fault"),
        ("/deep", 500, "fault"),
        ("/unshaped", 500, "fault"),
    ],
)
def test_a_request_that_is_not_served_has_a_typed_answer(path, status, fault):
    got, closed, calls = one(get(path))
    assert len(got) == 1 and got[0][0] == status and json.loads(got[0][2])["fault"] == fault
    assert not closed and not calls
    assert (got[0][1].get("retry-after") is not None) == (fault == "not-ready")


def test_requests_are_routed_to_their_handlers():
    assert one(get("/echo?x=1", "POST", b"abc"))[0][0][2] == b"abc"
    assert one(get("/below/i-7?x"))[0][0][2] == b'{"rest":"i-7"}'
    got = one(get("/shaped"))[0][0]
    assert got[0] == 204 and got[1]["x-more"] == "1"
    assert one(get("/echo", "PUT"))[0][0][0] == 404


@pytest.mark.parametrize("body", [b"", b"{", b"\xff", b"[" * 900, b"{} x"])
def test_a_body_that_is_not_json_is_malformed(body):
    got, closed, _ = one(get("/doc", "POST", body))
    assert got[0][0] == 400 and json.loads(got[0][2])["fault"] == "malformed" and not closed


def test_a_head_request_has_no_body_and_the_connection_goes_on():
    async def go(server, protocol, transport):
        protocol.data_received(
            get("/below/a")
            + get("/none", "HEAD")
            + get("/below/a")
            + get("/none", "HEAD")
            + b"nonsense\r\n\r\n"
        )
        await asyncio.sleep(1)
        got = answers(transport.out, ("GET", "HEAD", "GET", "HEAD"))
        assert (
            [response[0] for response in got] == [200, 404, 200, 404, 400]
            and got[1][2] == got[3][2] == b""
            and transport.closed
        )

    talk(go)


@pytest.mark.parametrize(
    "raw",
    [
        b"\r\n\r\nnope\r\n\r\n",
        b"GET\r\n\r\n",
        b"GET / HTTP/1.1\r\n\r\n",
        b"GET / HTTP/x\r\nHost: x\r\n\r\n",
        b"GET / HTTP/1.1\r\nHost: x\r\nHost: y\r\n\r\n",
        b"GET / HTTP/1.1\r\nHost: x\r\nContent-Length: x\r\n\r\n",
        b"GET / HTTP/1.1\r\nHost: x\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\n",
        b"GET /a b HTTP/1.1\r\nHost: x\r\n\r\n",
        b"GET /\xff HTTP/1.1\r\nHost: x\r\n\r\n",
        b"GET / HTTP/1.1\r\nHost: x\r\nA" + b"a" * 70_000,
        b"GET /" + b"a" * 70_000,
        b"POST /echo HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n",
        b"CONNECT db me\r\n\r\n",
        b"\x16\x03\x01\r\n\r\n",
    ],
)
def test_invalid_http_gets_one_400_and_the_connection_is_closed(raw):
    got, closed, calls = one(raw)
    assert [x[0] for x in got] == [400] and closed and not calls


@pytest.mark.parametrize("chunked", [False, True])
def test_a_body_over_the_bound_is_declined_and_no_handler_called(chunked):
    body = b"x" * (MAX_BODY_BYTES + 1)
    raw = (
        get("/echo", "POST", body)
        if not chunked
        else (
            b"POST /echo HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n"
            + b"%x\r\n%s\r\n0\r\n\r\n" % (len(body), body)
        )
    )
    got, closed, calls = one(raw)
    assert (
        [x[0] for x in got] == [413]
        and json.loads(got[0][2])["fault"] == "oversize"
        and closed
        and not calls
    )
    got, closed, calls = one(get("/echo", "POST", b"x" * MAX_BODY_BYTES))
    assert got[0][0] == 200 and len(got[0][2]) == MAX_BODY_BYTES and not closed


PARTS = st.lists(
    st.sampled_from(
        [
            get("/echo", "POST", b"abc"),
            get("/below/a"),
            get("/none"),
            get("/busy"),
            get("/shaped"),
            b"POST /echo HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n"
            b"1\r\nq\r\n0\r\n\r\n",
        ]
    ),
    min_size=1,
    max_size=6,
)


@DRAWN
@given(PARTS, st.randoms(use_true_random=False), st.integers(1, 60))
def test_requests_in_a_row_are_answered_in_order_in_whatever_pieces(parts, rng, most):
    async def go(c, p, tr):
        raw = b"".join(parts)
        while raw:
            n = rng.randint(1, most)
            p.data_received(raw[:n])
            raw = raw[n:]
            if rng.random() < 0.1:
                await asyncio.sleep(0.01)
        await asyncio.sleep(1)
        assert not tr.closed
        return [(a, c) for a, _, c in answers(tr.out)]

    assert talk(go) == [(a, c) for x in parts for a, _, c in one(x)[0]]


@DRAWN
@given(st.binary(max_size=60), st.integers(0, 80))
def test_junk_gets_one_400_or_silence(junk, at):
    good = get("/echo", "POST", b"abc")
    for raw in (junk, junk + b"\r\n\r\n", good[:at] + junk + good[at:]):
        got, closed, calls = one(raw)
        assert [x[0] for x in got][1:] in ([], [400]) and (closed or len(got) <= 1)
        assert [x[0] for x in got][:1] in ([], [400], [200], [404], [413])


def test_a_half_closed_connection_is_answered_and_then_closed():
    async def go(server, protocol, transport):
        server.pending_response = asyncio.get_running_loop().create_future()
        protocol.data_received(get("/held"))
        assert protocol.eof_received()
        await asyncio.sleep(1)
        assert transport.out == b"" and not transport.closed
        server.pending_response.set_result(None)
        await asyncio.sleep(1)
        assert (
            [response[0] for response in answers(transport.out)] == [200]
            and transport.closed
            and not server.http_server.connections
        )

    talk(go)


def test_a_caller_that_stops_inside_a_request_or_between_them_is_closed():
    async def go(server, protocol, transport):
        protocol.data_received(get("/echo", "POST", b"abc")[:-1])
        assert not protocol.eof_received()
        await asyncio.sleep(1)
        assert (
            [response[0] for response in answers(transport.out)] == [400]
            and transport.closed
            and not server.calls
        )

    talk(go)

    async def idle(server, protocol, transport):
        assert not protocol.eof_received()
        assert transport.out == b"" and transport.closed

    talk(idle)


def test_requests_in_a_row_before_the_end_are_all_answered():
    async def go(server, protocol, transport):
        protocol.data_received(get("/below/a") * 3)
        assert protocol.eof_received()
        await asyncio.sleep(1)
        assert [response[0] for response in answers(transport.out)] == [
            200
        ] * 3 and transport.closed

    talk(go)


def test_a_lost_connection_gets_no_response_and_is_removed():
    async def go(server, protocol, transport):
        server.pending_response = asyncio.get_running_loop().create_future()
        protocol.data_received(get("/held"))
        await asyncio.sleep(0.1)
        transport.close()
        server.pending_response.set_result(None)
        await asyncio.sleep(1)
        assert (
            transport.out == transport.written_after_close == b""
            and not server.http_server.connections
        )

    talk(go)


def test_a_request_in_progress_is_answered_when_the_server_closes():
    """Guards against orders that are cut without a word when a control node stops."""

    async def go(server, protocol, transport):
        server.pending_response = asyncio.get_running_loop().create_future()
        protocol.data_received(get("/held"))
        await asyncio.sleep(0.1)
        await server.http_server.close()
        server.pending_response.set_result(None)
        await asyncio.sleep(0.1)
        assert transport.closed and transport.written_after_close == b""
        return transport.out

    [(status, headers, body)] = answers(talk(go))
    assert (status, json.loads(body)["fault"]) == (DeadlineExceeded.status, DeadlineExceeded.code)
    assert headers["retry-after"] == "1"


def test_an_idle_connection_is_closed_and_a_used_one_is_not():
    async def go(server, protocol, transport):
        for _ in range(4):
            await asyncio.sleep(50)
            protocol.data_received(get("/below/a"))
        assert not transport.closed
        await asyncio.sleep(61)
        assert transport.closed and len(answers(transport.out)) == 4

    talk(go)


@pytest.mark.parametrize(
    "raw", [get("/below/a", heads="Connection: close\r\n"), b"GET /below/a HTTP/1.0\r\n\r\n"]
)
def test_a_connection_is_closed_after_the_answer_if_its_caller_says_so(raw):
    got, closed, _ = one(raw)
    assert [x[0] for x in got] == [200] and closed


# Client calls


def call(script, us=2_000_000, doc=None, heads=()):
    """Calls a peer that answers with the parts of `script` (None: no answer).

    Returns the result and what the peer received.
    """

    async def go():
        writers, received = [], []

        async def peer(reader, writer):
            writers.append(writer)
            received.append(await reader.readuntil(b"\r\n\r\n"))
            for part in script or ():
                writer.write(part)
                await writer.drain()
            if script is not None:
                writer.close()

        listener = await asyncio.start_server(peer, "127.0.0.1", 0)
        try:
            address = "127.0.0.1:%d" % listener.sockets[0].getsockname()[1]
            return await light_call(LoopClock(), address, "POST", "/p", doc, heads, us), received
        finally:
            for closable in [listener, *writers]:
                closable.close()

    return run_in_virtual_time(go())


@pytest.mark.parametrize(
    ("script", "want"),
    [
        ([b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}"], (200, {})),
        ([b"HTTP/1.1 20", b"0 OK\r\nContent-Le", b'ngth: 7\r\n\r\n{"a"', b":1}"], (200, {"a": 1})),
        ([b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\n[]\r\n0\r\n\r\n"], (200, [])),
        (
            [b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 409 Conflict\r\nContent-Length: 0\r\n\r\n"],
            (409, None),
        ),
        ([b"HTTP/1.1 200 OK\r\n\r\n{}"], (200, {})),
        ([b"HTTP/1.1 500 x\r\nContent-Length: 1\r\n\r\n{"], (500, None)),
        ([b"HTTP/1.1 200 OK\r\nContent-Length: 90000\r\n\r\n" + b"[" * 90_000], (200, None)),
        ([b"HTTP/1.1 204 x\r\n\r\n"], (204, None)),
    ],
)
def test_an_answer_is_its_status_and_document(script, want):
    assert call(script)[0] == want


@pytest.mark.parametrize(
    "script",
    [
        [],
        [b"HTTP/1.1 200 OK\r\n"],
        [b"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\n{}"],
        [b"nonsense\r\n\r\n"],
        [b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n"],
        [b"HTTP/1.1 200 OK\r\nContent-Length: -1\r\n\r\n"],
        [b"READY I -\r\n"],
        [b"HTTP/1.1 100 Continue\r\n\r\n"],
    ],
)
def test_a_broken_answer_leaves_the_outcome_unknown(script):
    with pytest.raises(Unreachable) as e:
        call(script)
    assert type(e.value) is Unreachable


def test_a_silent_peer_times_out_and_a_closed_port_is_not_sent():
    with pytest.raises(DeadlineExceeded):
        call(None, us=50_000)
    with socket.socket() as s:
        s.bind(("127.0.0.1", 0))
        with pytest.raises(NotSent):
            run_in_virtual_time(
                light_call(LoopClock(), "127.0.0.1:%d" % s.getsockname()[1], "GET", "/")
            )


def test_a_call_sends_its_document_and_headers():
    got = call(
        [b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"],
        doc={"é": 1},
        heads=[("X-Fence-Token", "7")],
    )[1][0]
    lines = got.decode().lower().split("\r\n")
    assert (
        lines[0] == "post /p http/1.1"
        and "x-fence-token: 7" in lines
        and "connection: close" in lines
    )
    assert f"content-length: {len(json.dumps({'é': 1}))}" in lines


def test_the_client_works_with_the_server():
    async def go():
        server = RecordingServer()
        address = await server.http_server.start()
        assert await light_call(LoopClock(), address, "POST", "/doc", {"x": [1]}) == (
            200,
            {"x": [1]},
        )
        status, document = await light_call(LoopClock(), address, "GET", "/busy")
        assert (
            status == 503
            and document["fault"] == "not-ready"
            and isinstance(document["retry_after_us"], int)
        )
        await server.http_server.close()
        with pytest.raises(NotSent):
            await light_call(LoopClock(), address, "GET", "/busy")

    run_in_virtual_time(go())
    assert issubclass(NotSent, Fault)
