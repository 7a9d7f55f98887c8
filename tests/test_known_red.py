"""Tests of KNOWN-RED.txt: a listed test may fail; one that passes, is skipped or isn't found fails the run."""

from pathlib import Path

import known_red
import pytest
from virtual_io import HANG_S

pytest_plugins = ["pytester"]

TESTS = """
import pytest

def test_passes():
    pass

def test_fails():
    assert 0

@pytest.mark.xdist_group("g")
@pytest.mark.parametrize("x", ["a b"])
def test_grouped(x):
    assert 0

@pytest.fixture
def broken():
    assert 0

def test_setup_fails(broken):
    pass

@pytest.mark.skip
def test_skipped():
    pass

@pytest.mark.xfail
def test_own_mark():
    pass
"""
RED = ["test_fails", "test_grouped[a b]", "test_setup_fails"]


@pytest.fixture(params=["", "-n 2 --dist loadgroup"], ids=["alone", "xdist"])
def run(pytester, request):
    """Returns a function that runs TESTS with the given lines of the list and returns pytest's result."""

    def run_pytest(*lines, args=()):
        (pytester.path / "tests").mkdir()
        for name, text in (
            ("pytest.ini", f"[pytest]\ntestpaths = tests\naddopts = -q {request.param}\n"),
            ("KNOWN-RED.txt", "".join(text + "\n" for text in lines)),
            ("tests/conftest.py", 'pytest_plugins = ["known_red"]\n'),
            ("tests/known_red.py", Path(known_red.__file__).read_text()),
            ("tests/test_it.py", TESTS),
        ):
            (pytester.path / name).write_text(text)
        return pytester.runpytest_subprocess(*args, timeout=HANG_S)

    return run_pytest


def listing(name, separator="  "):
    return separator.join([f"tests/test_it.py::{name}", "a cause", "issue 7"])


def test_listed_tests_that_fail_are_printed_and_do_not_fail_the_run(run):
    result = run(
        listing("test_fails"),
        "",
        listing("test_grouped[a b]", "\t"),
        listing("test_setup_fails", " \t "),
    )
    assert result.ret == 0
    result.assert_outcomes(passed=1, xfailed=3, skipped=1, xpassed=1)
    for name in RED:
        assert f"tests/test_it.py::{name}  fails as listed: a cause (issue 7)" in result.outlines


def test_a_failing_test_that_is_not_listed_fails_the_run(run):
    result = run(listing("test_fails"), listing("test_setup_fails"))
    assert result.ret == 1
    result.assert_outcomes(passed=1, xfailed=2, skipped=1, xpassed=1, failed=1)


@pytest.mark.parametrize(
    "name,message",
    [
        ("test_passes", "does not fail as listed"),
        ("test_own_mark", "does not fail as listed"),
        ("test_skipped", "skipped, so not known to fail"),
        ("test_gone", "not found"),
        ("test_grouped", "not found"),
    ],
)
def test_a_listed_test_that_does_not_fail_or_is_not_found_fails_the_run(run, name, message):
    result = run(*map(listing, [*RED, name]))
    assert result.ret == 1
    assert result.parseoutcomes()["failed"] == 1
    assert any(text.startswith(f"tests/test_it.py::{name}  {message}") for text in result.outlines)


def test_a_partial_run_requires_only_the_listed_tests_it_runs(run):
    result = run(*map(listing, [*RED, "test_gone"]), args=["-k", "test_fails"])
    assert result.ret == 0
    result.assert_outcomes(xfailed=1)


@pytest.mark.parametrize(
    "lines", [["tests/test_it.py::test_fails  a cause"], [listing("test_fails")] * 2]
)
def test_an_incomplete_or_duplicate_line_stops_the_run(run, lines):
    result = run(*lines)
    assert result.ret == pytest.ExitCode.USAGE_ERROR
    assert any(f"KNOWN-RED.txt:{len(lines)}:" in text for text in result.errlines)
