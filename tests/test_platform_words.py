"""Parsing and formatting of line protocol messages, including that bytes are forwarded unchanged."""

import sys
from pathlib import Path

import pytest
from hypothesis import Phase, given, settings
from hypothesis import strategies as st

sys.path.insert(0, str(Path(__file__).parent.parent / "platform"))

from petrelhaven.proxy.session.statement import Reply, Statement  # noqa: E402
from petrelhaven.runtime.errors import Fault  # noqa: E402
from statements import (  # noqa: E402
    CODES_BY_KEYWORD,
    ERROR_KEYWORDS,
    format_position,
    format_reply,
    format_statement,
    format_system_statement,
    parse_position,
    parse_statement,
    parse_status,
)

DRAWN = settings(
    max_examples=300, phases=[Phase.generate], deadline=None, derandomize=True, database=None
)
WORD = st.text(
    st.characters(exclude_categories=["Cs"], exclude_characters=" \r\n"), min_size=1, max_size=8
)
LAST = st.text(
    st.characters(exclude_categories=["Cs"], exclude_characters="\r\n"), min_size=1, max_size=12
)
POSITION = st.none() | st.tuples(st.integers(0, 9), st.integers(0, 99))
VERBS = {
    "FETCH": "read",
    "PUT": "write",
    "SET": "set",
    "PREPARE": "prepare",
    "EXECUTE": "execute",
    "DEALLOC": "forget",
}


@DRAWN
@given(WORD, WORD, LAST, st.sampled_from(["FETCH", "PUT"]))
def test_each_well_formed_text_is_its_statement_as_it_came(name, thing, last, kind):
    for text, verb, writes in (
        (f"FETCH {last}", "read", False),
        (f"PUT {thing} {last}", "write", True),
        (f"PUT {thing} ", "write", True),
        (f"SET {name} {last}", "set", False),
        (f"SET {name} ", "set", False),
        (f"PREPARE {name} {kind} {last}", "prepare", False),
        (f"EXECUTE {name} {last}", "execute", False),
        (f"DEALLOC {last}", "forget", False),
        ("BEGIN", "begin", True),
        ("BEGIN FETCH", "begin", False),
        ("COMMIT", "commit", False),
        ("ROLLBACK", "rollback", False),
    ):
        a = parse_statement("7f", text)
        assert isinstance(a, Statement) and (a.number, a.verb, a.text, a.writes) == (
            "7f",
            verb,
            text,
            writes,
        )
    a = parse_statement("1", f"PREPARE {name} {kind} {last}")
    assert (a.name, a.prepared_text) == (name, f"{kind} {last}")
    a = parse_statement("1", f"EXECUTE {name} {last}")
    assert (a.name, a.data) == (name, last)
    a = parse_statement("1", f"SET {name} {last}")
    assert (a.name, a.data) == (name, last)


@pytest.mark.parametrize(
    "text",
    [
        "",
        " ",
        "FETCH",
        "FETCH ",
        "fetch a",
        "PUT",
        "PUT a",
        "PUT ",
        "PUT  a",
        "SET",
        "SET a",
        "SET  a",
        "PREPARE a",
        "PREPARE a FETCH",
        "PREPARE a FETCH ",
        "PREPARE a PUT ",
        "PREPARE a DROP b",
        "PREPARE a FETCHX b",
        "PREPARE  FETCH b",
        "EXECUTE",
        "EXECUTE a",
        "EXECUTE a ",
        "EXECUTE  a",
        "DEALLOC",
        "DEALLOC ",
        "BEGIN ",
        "BEGIN PUT",
        "BEGIN FETCH ",
        "COMMIT now",
        "commit",
        "ROLLBACK ",
        "STATUS",
        "PAUSE 9",
        "RESUME",
        "STEPDOWN 9",
        "RESET",
        "AFTER 1.2 FETCH a",
        "QUIT",
        "\0",
        "FETCH\ta",
    ],
)
def test_any_other_text_is_malformed(text):
    reply = parse_statement("1", text)
    assert isinstance(reply, Reply) and reply.code == "malformed"


@DRAWN
@given(
    st.text(max_size=20)
    | st.builds("{} {}".format, st.sampled_from(sorted(VERBS)), st.text(max_size=12))
)
def test_no_text_raises_and_none_is_taken_for_another(text):
    a = parse_statement("1", text)
    if isinstance(a, Statement):
        assert a.text == text and VERBS.get(text.split(" ")[0], a.verb) == a.verb
    else:
        assert a.code == "malformed"


@DRAWN
@given(st.binary(max_size=30).filter(lambda b: b"\r\n" not in b), WORD, POSITION)
def test_a_line_to_a_member_has_the_clients_id_and_text_byte_for_byte(data, num, after):
    text = b"PUT k " + data
    line = format_statement(
        parse_statement(num, text.decode("utf-8", "surrogateescape")), after, None
    )
    front = f"AFTER {after[0]}.{after[1]} ".encode() if after else b""
    assert (
        line.encode("utf-8", "surrogateescape") == f"QUERY {num} ".encode() + front + text + b"\r\n"
    )


@DRAWN
@given(WORD, WORD, LAST)
def test_only_the_prepared_name_is_changed_in_an_execute(name, alias, last):
    assert (
        format_statement(parse_statement("9", f"EXECUTE {name} {last}"), None, alias)
        == f"QUERY 9 EXECUTE {alias} {last}\r\n"
    )


def test_formatting_of_system_statements():
    assert (
        format_system_statement("begin", ("reads", (3, 7)), "5")
        == "QUERY 5 AFTER 3.7 BEGIN FETCH\r\n"
    )
    assert format_system_statement("begin", ("writes", None), "5") == "QUERY 5 BEGIN\r\n"
    assert format_system_statement("set", ("n", "a b"), "5") == "QUERY 5 SET n a b\r\n"
    assert (
        format_system_statement("prepare", ("p1", "PUT q"), "5") == "QUERY 5 PREPARE p1 PUT q\r\n"
    )
    assert [
        format_system_statement(verb, arguments)
        for verb, arguments in (
            ("reset", ()),
            ("rollback", ()),
            ("status", ()),
            ("pause", (9,)),
            ("resume", ()),
            ("demote", (9,)),
        )
    ] == [
        f"QUERY - {text}\r\n"
        for text in ("RESET", "ROLLBACK", "STATUS", "PAUSE 9", "RESUME", "STEPDOWN 9")
    ]


@DRAWN
@given(
    st.lists(LAST, max_size=3),
    WORD,
    st.sampled_from("ITE"),
    POSITION,
    st.none() | st.sampled_from(sorted(ERROR_KEYWORDS)),
)
def test_a_reply_has_its_rows_one_end_and_one_ready(rows, stamp, state, position, code):
    lines = format_reply(Reply(rows, stamp, code, "why", state, position)).split("\r\n")
    assert lines == [f"ROW {r}" for r in rows] + [
        f"ERROR {ERROR_KEYWORDS[code]} why" if code else f"COMPLETE {stamp}",
        f"READY {state} {format_position(position)}",
        "",
    ]
    assert parse_position(format_position(position)) == position


def test_every_reply_code_has_one_keyword():
    assert {CODES_BY_KEYWORD[keyword] for keyword in ERROR_KEYWORDS.values()} == set(ERROR_KEYWORDS)


@DRAWN
@given(st.text(max_size=20))
def test_a_row_of_a_status_is_whole_or_a_value_error(text):
    try:
        d = parse_status(Reply([text], position=(1, 2)))
    except (ValueError, IndexError):
        return
    except Fault:
        pytest.fail("a wire's row is no fault of its own")
    assert d["role"] and d["at"] == (1, 2)


def test_a_status_row():
    assert parse_status(Reply(["replica 3 3.1209 0 12 2 17"], position=(3, 1204))) == {
        "role": "replica",
        "term": 3,
        "pos": (3, 1209),
        "held": 0,
        "lag_ms": "12",
        "busy": 2,
        "conns": 17,
        "at": (3, 1204),
    }
