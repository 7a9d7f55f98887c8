"""Client connections: each QUERY gets one COMPLETE or ERROR and one READY, however bytes are split."""

import re

import pytest
from hypothesis import Phase, given, settings
from hypothesis import strategies as st
from proxy_harness import CONFIG, answers, queries, replies, run_on_proxy, settle

from statements import MAX_LINE_BYTES

DRAWN = settings(
    max_examples=60, phases=[Phase.generate], deadline=None, derandomize=True, database=None
)


def test_without_a_lease_an_unknown_database_gets_no_final_refusal():
    """Guards against a refusal of a route that was added while the proxy had no contact (CONFIG)."""

    async def go(harness):
        harness.core_connection.holds_lease = False
        transports = [
            harness.client(first)[1] for first in (b"CONNECT nowhere me\r\n", b"CONNECT db me\r\n")
        ]
        await settle()
        return [transport.out for transport in transports]

    refused, accepted = run_on_proxy(go)
    assert re.fullmatch(rb"ERROR BUSY [^\r\n]*; come back in [1-9]\d* ms\r\n", refused)
    assert accepted == b"READY I -\r\n"


STATEMENT = st.sampled_from(
    [
        "FETCH k",
        "PUT k v",
        "PUT k fail",
        "BEGIN",
        "BEGIN FETCH",
        "COMMIT",
        "ROLLBACK",
        "SET n v",
        "PREPARE s FETCH q",
        "PREPARE w PUT q",
        "EXECUTE s k",
        "EXECUTE w k d",
        "DEALLOC s",
        "DEALLOC never",
        "",
        "NONSENSE x",
        "EXECUTE none k",
    ]
)


def expected(texts):
    """Returns the end and the session state after each statement as page PROTOCOL specifies them."""
    state, names, out = "I", {}, []
    for t in texts:
        w = t.split(" ")
        end = "COMPLETE"
        if t == "ROLLBACK":
            state = "I"
        elif state == "E":
            end = "ABORTED" if t == "COMMIT" else "MALFORMED"
            state = "I" if t == "COMMIT" else "E"
        elif (
            w[0] in ("", "NONSENSE")
            or w[0] == "BEGIN"
            and state == "T"
            or t == "COMMIT"
            and state == "I"
        ):
            end = "MALFORMED"
            if w[0] != "BEGIN":
                state = "E" if state == "T" else state
        elif w[0] == "BEGIN":
            state = "T"
        elif t == "COMMIT":
            state = "I"
        elif w[0] == "PREPARE":
            names[w[1]] = t
        elif w[0] == "DEALLOC":
            names.pop(w[1], None)
        elif w[0] == "EXECUTE" and w[1] not in names or t == "PUT k fail":
            end = "NOSTMT" if w[0] == "EXECUTE" else "FAILED"
            state = "E" if state == "T" else state
        out.append((end, state))
    return out


@DRAWN
@given(st.lists(STATEMENT, max_size=14))
def test_ends_and_states_follow_the_pages(texts):
    got = run_on_proxy(lambda d: answers(d, *texts))
    assert [(e, s) for _, e, s in got] == expected(texts)


@DRAWN
@given(
    st.lists(STATEMENT, min_size=1, max_size=8),
    st.randoms(use_true_random=False),
    st.integers(1, 9),
)
def test_the_pieces_that_bytes_come_in_change_nothing(texts, rng, most):
    raw = b"CONNECT db me\r\n" + queries(*texts) + b"QUIT\r\n"

    async def whole(d):
        f, tr = d.client(raw)
        await settle()
        return tr.out, d.member.kept, tr.closed

    async def pieces(d):
        f, tr = d.client(None)
        at = 0
        while at < len(raw):
            n = rng.randint(1, most)
            f.data_received(raw[at : at + n])
            at += n
            if rng.random() < 0.2:
                await settle(0.001)
        await settle()
        return tr.out, d.member.kept, tr.closed

    def shape(x):
        got = [(e.split(b" ")[:1], ready) for _, e, ready in replies(x[0])[0]]
        return len(got), got, x[1], x[2]

    a, b = run_on_proxy(whole), run_on_proxy(pieces)
    assert shape(a) == shape(b) and a[2] and shape(a)[0] == len(texts)


@DRAWN
@given(st.lists(st.binary(max_size=20), min_size=1, max_size=6), st.booleans())
def test_junk_gets_at_most_one_error_and_never_stumbles(junk, connected):
    async def go(d):
        f, tr = d.client(b"CONNECT db me\r\n" if connected else None)
        for j in junk:
            if not tr.closed:
                f.data_received(j + b"\r\n")
        await settle()
        assert not tr.aborted and d.member.ran == [] and d.member.kept == {}
        assert tr.out.count(b"ERROR") <= 1 and tr.closed == (
            b"ERROR" in tr.out or any(j[:4] == b"QUIT" for j in junk)
        )
        assert len(d.proxy.sessions) == (not tr.closed)

    run_on_proxy(go)


@pytest.mark.parametrize(
    ("first", "code"),
    [
        (b"QUERY 1 FETCH k\r\n", b"MALFORMED"),
        (b"\r\n", b"MALFORMED"),
        (b"CONNECT\r\n", b"MALFORMED"),
        (b"CONNECT \r\n", b"MALFORMED"),
        (b"connect db me\r\n", b"MALFORMED"),
        (b"READY I -\r\n", b"MALFORMED"),
        (b"GET / HTTP/1.1\r\n", b"MALFORMED"),
        (b"CONNECT nowhere me\r\n", b"NODB"),
        (b"CONNECT  me\r\n", b"NODB"),
        (b"CONNECT DB me\r\n", b"NODB"),
        (b"CONNECT " + b"x" * MAX_LINE_BYTES + b"\r\n", b"TOOLARGE"),
        (b"CONNECT db\nQUERY 1 PUT k v\r\n", b"MALFORMED"),
        (b"CONNECT db me\r\r\n", b"MALFORMED"),
    ],
)
def test_an_invalid_first_message_gets_one_error_and_a_close(first, code):
    async def go(harness):
        client, transport = harness.client(first + queries("PUT k v"))
        await settle()
        assert (
            transport.closed
            and transport.out.startswith(b"ERROR " + code + b" ")
            and transport.out.count(b"\r\n") == 1
        )
        assert not harness.proxy.sessions and not harness.clients and harness.member.kept == {}

    run_on_proxy(go)


def test_a_proxy_without_a_configuration_replies_busy_within_2_s():
    async def go(harness):
        client, transport = harness.client(b"CONNECT db me\r\n" + queries("PUT a 1"))
        await settle(1)
        assert transport.out == b"" and not transport.closed
        await settle(0.9)
        assert (
            transport.out.startswith(b"ERROR BUSY ")
            and transport.out.count(b"\r\n") == 1
            and transport.closed
        )
        await settle()
        assert harness.member.kept == {} and not harness.clients and not harness.proxy.sessions

    run_on_proxy(go, leave_starting=True)


@pytest.mark.parametrize(
    ("name", "tail", "ends"),
    [
        (b"db", b"", False),
        (b"db", b"QUIT\r\n", True),
        (b"db", None, True),
        (b"db", b"JUNK\r\n", True),
        (b"db", b"CONNECT db me\r\n", True),
        (b"nowhere", b"", True),
    ],
)
def test_statements_received_before_the_first_configuration_are_executed_after_it(name, tail, ends):
    async def go(harness):
        client, transport = harness.client(
            b"CONNECT " + name + b" me\r\n" + queries("PUT a 1", "PUT a 2")
        )
        client.data_received(tail) if tail is not None else client.eof_received()
        await settle(0.5)
        assert transport.out == b"" and not transport.closed and not client.idle
        harness.configure(CONFIG)
        await settle()
        if name == b"nowhere":
            assert transport.out.startswith(b"ERROR NODB") and transport.out.count(b"\r\n") == 1
        else:
            assert len(replies(transport.out)[0]) == 2 and harness.member.kept == {"a": "2"}
        assert (
            transport.closed == ends
            and not transport.aborted
            and len(harness.proxy.sessions) == (not ends)
        )

    run_on_proxy(go, leave_starting=True)


def test_a_client_lost_before_the_first_configuration_leaves_nothing_behind():
    async def go(harness):
        client, transport = harness.client(b"CONNECT db me\r\n" + queries("PUT a 1"))
        transport.close()
        await settle(0.1)
        harness.configure(CONFIG)
        await settle()
        assert (
            transport.out == b""
            and not harness.proxy.sessions
            and not harness.clients
            and harness.member.kept == {}
        )

    run_on_proxy(go, leave_starting=True)


def test_a_removed_route_is_reported_at_the_next_statement():
    async def go(harness):
        client, transport = harness.client()
        harness.configure({**CONFIG, "Revision": 2, "Routes": []})
        client.data_received(queries("FETCH k"))
        await settle()
        got, _ = replies(transport.out)
        assert got[0][1].startswith(b"ERROR NODB") and got[0][2] == b"I -"
        for name in (b"db", b"", b"none", b" "):
            _, transport = harness.client(b"CONNECT " + name + b" me\r\n")
            assert transport.out.startswith(b"ERROR NODB"), name

    run_on_proxy(go)


@pytest.mark.parametrize(
    "tail",
    [
        b"SET k v\r\n",
        b"CONNECT db me\r\n",
        b"QUERY\r\n",
        b"QUERY 1\nPUT k w\r\n",
        b"\r\n",
        b"QUERY 9 PUT k \n w\r\n",
        b"QUERY 9 PUT k \r w\r\n",
    ],
)
def test_an_invalid_message_ends_the_session_after_pending_replies(tail):
    async def go(harness):
        client, transport = harness.client()
        client.data_received(queries("PUT a 1", "PUT a 2") + tail + queries("PUT a 3"))
        await settle()
        got, end = replies(transport.out)
        assert (
            [x[1][:8] for x in got] == [b"COMPLETE"] * 2
            and transport.closed
            and end.startswith(b"ERROR MALFORMED")
        )
        assert harness.member.kept == {"a": "2"} and not harness.proxy.sessions

    run_on_proxy(go)


def test_a_query_without_a_text_is_malformed_and_the_session_goes_on():
    async def go(harness):
        client, transport = harness.client()
        client.data_received(b"QUERY 1\r\nQUERY 2 \r\nQUERY 3 PUT a b\r\n")
        await settle()
        assert [x[1].split(b" ")[0] for x in replies(transport.out)[0]] == [
            b"ERROR",
            b"ERROR",
            b"COMPLETE",
        ]

    run_on_proxy(go)


@pytest.mark.parametrize("whole", [True, False])
def test_a_message_over_the_bound_is_not_run(whole):
    async def go(harness):
        client, transport = harness.client()
        raw = b"QUERY 1 PUT k " + b"x" * MAX_LINE_BYTES + (b"\r\n" if whole else b"")
        for at in range(0, len(raw), 1 << 18):
            if not transport.closed:
                client.data_received(raw[at : at + (1 << 18)])
        await settle()
        assert (
            transport.closed
            and replies(transport.out)[1].startswith(b"ERROR TOOLARGE")
            and harness.member.ran == []
        )

    run_on_proxy(go)


def test_a_message_of_just_the_bound_passes():
    async def go(harness):
        client, transport = harness.client()
        head = b"QUERY 1 PUT k "
        client.data_received(head + b"x" * (MAX_LINE_BYTES - len(head)) + b"\r\n")
        await settle()
        assert replies(transport.out)[0][0][1].startswith(b"COMPLETE") and len(
            harness.member.kept["k"]
        ) == MAX_LINE_BYTES - len(head)

    run_on_proxy(go)


@DRAWN
@given(st.binary(min_size=1, max_size=40).filter(lambda b: b"\r" not in b and b"\n" not in b))
def test_any_bytes_reach_the_member_and_come_back_as_they_were(data):
    async def go(d):
        f, tr = d.client()
        f.data_received(queries(b"PUT k " + data, "FETCH k"))
        await settle()
        if data == b"fail":
            return
        assert replies(tr.out)[0][1][0] == [data]
        assert d.member.ran[0][1].encode("utf-8", "surrogateescape") == b"PUT k " + data

    run_on_proxy(go)


@DRAWN
@given(
    st.lists(
        st.sampled_from(
            [
                "SET a 1",
                "SET b ",
                "SET é ü ß",
                "PREPARE s FETCH x",
                "PREPARE s PUT y",
                "DEALLOC s",
                "DEALLOC none",
                "PREPARE " + "n" * 500 + " PUT z",
            ]
        ),
        min_size=1,
        max_size=8,
    ),
    st.booleans(),
)
def test_values_and_names_never_fail(texts, inside):
    got = run_on_proxy(lambda d: answers(d, *["BEGIN"] * inside, *texts))
    assert {(e, s) for _, e, s in got} == {("COMPLETE", "T" if inside else "I")}


def test_a_commit_after_a_failure_stores_nothing():
    async def go(d):
        got = await answers(
            d,
            "BEGIN",
            "PUT a 1",
            "PUT a fail",
            "PUT a 2",
            "SET n v",
            "FETCH a",
            "COMMIT",
            "FETCH a",
        )
        assert [(e, s) for _, e, s in got] == [
            ("COMPLETE", "T"),
            ("COMPLETE", "T"),
            ("FAILED", "E"),
            ("MALFORMED", "E"),
            ("MALFORMED", "E"),
            ("MALFORMED", "E"),
            ("ABORTED", "I"),
            ("COMPLETE", "I"),
        ]
        assert d.member.kept == {} and got[-1][0] == [b""]
        assert "SET n v" not in [t for _, t in d.member.ran]

    run_on_proxy(go)


def test_a_malformed_statement_fails_the_transaction_at_its_member_too():
    async def go(d):
        await answers(d, "BEGIN", "PUT a 1", "JUNK", "COMMIT", "PUT b 1")
        assert d.member.kept == {"b": "1"}

    run_on_proxy(go)


def test_a_client_receives_nothing_while_no_statement_is_pending():
    async def go(harness):
        client, transport = harness.client()
        client.data_received(queries("BEGIN", "PUT a 1"))
        await settle(1)
        at = len(transport.out)
        harness.configure({**CONFIG, "Revision": 2})
        await settle(60)
        assert len(transport.out) == at and not transport.closed
        assert all(s.lost for s in harness.member.member_connections if s.open_ is not None)
        client.data_received(queries("COMMIT"))
        await settle()
        got, _ = replies(transport.out)
        assert (
            got[-1][1].startswith(b"ERROR ABORTED")
            and got[-1][2][:1] == b"I"
            and harness.member.kept == {}
        )

    run_on_proxy(go)


def test_an_unresponsive_member_gives_one_ready_per_query_within_the_route_timeout():
    async def go(harness):
        client, transport = harness.client()
        harness.member.mute = True
        client.data_received(queries("PUT a 1", "FETCH a"))
        await settle(0.75)
        assert transport.out == b"READY I -\r\n"
        await settle(3)
        got, end = replies(transport.out)
        assert len(got) == 2 and end is None and got[0][1].startswith(b"ERROR INDOUBT")
        assert got[1][1].split(b" ")[1] in (b"BUSY", b"TIMEOUT")

    run_on_proxy(go)


def test_a_client_that_half_closes_gets_all_replies():
    async def go(harness):
        client, transport = harness.client()
        client.data_received(queries("PUT a 1", "PUT a 2"))
        assert client.eof_received()
        await settle()
        assert (
            len(replies(transport.out)[0]) == 2 and transport.closed and not harness.proxy.sessions
        )
        client, transport = harness.client()
        assert not client.eof_received() and transport.closed

    run_on_proxy(go)


def test_a_client_lost_inside_a_transaction_has_its_member_connection_closed():
    async def go(harness):
        client, transport = harness.client()
        client.data_received(queries("BEGIN", "PUT a 1"))
        await settle()
        s = next(s for s in harness.member.member_connections if s.open_ is not None)
        transport.close()
        await settle()
        assert (
            s.lost
            and not harness.proxy.sessions
            and not harness.clients
            and harness.member.kept == {}
        )

    run_on_proxy(go)


def test_an_idle_transaction_is_aborted_and_reported_at_the_next_statement():
    async def go(harness):
        limit_s = harness.proxy.bounds().idle_txn_us / 1e6
        client, transport = harness.client()
        client.data_received(queries("BEGIN", "PUT a 1"))
        await settle(limit_s - 0.5)
        transaction_connection = next(
            s for s in harness.member.member_connections if s.open_ is not None
        )
        assert not transaction_connection.lost
        client.data_received(queries("PUT b 1"))
        await settle(limit_s - 0.5)
        assert not transaction_connection.lost, "a statement restarts the idle timeout"
        await settle(1)
        assert transaction_connection.lost and harness.member.kept == {}
        before = len(replies(transport.out)[0])
        client.data_received(queries("PUT c 1"))
        await settle(0.1)
        (rows, end, ready), *_ = replies(transport.out)[0][before:]
        assert (rows, ready[:1]) == ([], b"E") and end.startswith(b"ERROR ABORTED"), end
        assert "PUT c 1" not in [text for _, text in harness.member.ran]

    run_on_proxy(go)


def test_a_client_lost_while_its_write_runs_leaves_nothing_behind():
    async def go(harness):
        client, transport = harness.client()
        harness.member.mute = True
        client.data_received(queries("BEGIN", "PUT a 1", "PUT b 1"))
        await settle(0.01)
        transport.close()
        await settle(10)
        assert (
            not harness.proxy.sessions
            and not harness.clients
            and harness.proxy.request_slots.used == 0
        )
        assert (
            harness.proxy.groups["svc"].strong_sessions == 0
            and harness.proxy.groups["svc"].members["m1"].pool.busy == set()
        )

    run_on_proxy(go)


def test_queued_statements_of_a_lost_client_are_not_executed():
    async def go(harness):
        client, transport = harness.client()
        harness.member.mute = True
        client.data_received(queries("PUT a 1", "PUT b 1"))
        await settle(0.01)
        transport.close()
        await settle(10)
        assert [t for _, t in harness.member.ran] == ["PUT a 1"] and not transport.aborted

    run_on_proxy(go)


@pytest.mark.parametrize(
    ("text", "runs"),
    [(b"PUT a 1", range(64, 67)), (b"PUT a " + b"x" * (MAX_LINE_BYTES >> 2), range(4, 8))],
)
def test_exceeding_the_statement_queue_ends_the_session(text, runs):
    async def go(harness):
        client, transport = harness.client()
        client.data_received(queries(*[text] * 200))
        assert sum(len(t) for _, t in client._queue) <= 2 * MAX_LINE_BYTES
        await settle()
        got, end = replies(transport.out)
        assert (
            len(got) in runs
            and len(harness.member.ran) == len(got)
            and end.startswith(b"ERROR BUSY")
            and transport.closed
        )

    run_on_proxy(go)
