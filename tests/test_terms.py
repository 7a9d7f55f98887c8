"""Modules that have been gone through use the terms of docs/glossary.md: no withdrawn word stands in an identifier."""

import io
import keyword
import re
import tokenize
from pathlib import Path

import pytest

ROOT = Path(__file__).parent.parent

OLD_TERMS = frozenset(
    "nest hall realm manifest office seat heir told tie tied desk strand doubt visitor usher vault lent tide "
    "herald muster mend relic trader troop stock plight".split()
)
WITHDRAWN = OLD_TERMS | frozenset(
    "whole held kept word sight news look looked "
    "say said tell rest lull twin mute dark quiet sure floor turn mark box".split()
)

# Modules where an old term is the name of a setting, a flag or a kind of fault; nothing is added to it.
NAMES_FROM_OUTSIDE = frozenset(
    {
        "src/petrelhaven/runtime/settings.py",
        "src/petrelhaven/simulator/connection_sessions/embargo.py",
        "src/petrelhaven/simulator/connection_sessions/faults.py",
        "src/petrelhaven/simulator/resumable/storm.py",
        "src/petrelhaven/simulator/soak.py",
    }
)

# Modules that have not been gone through; the list only shrinks, and nothing is added to it.
NOT_YET = frozenset(
    {
        "platform/client_connection.py",
        "platform/member_connections.py",
        "platform/statements.py",
        "src/petrelhaven/proxy/resumable/handover.py",
        "src/petrelhaven/proxy/resumable/session_keeper.py",
        "src/petrelhaven/runtime/settings.py",
        "src/petrelhaven/simulator/connection_sessions/control_scenes.py",
        "src/petrelhaven/simulator/connection_sessions/embargo.py",
        "src/petrelhaven/simulator/connection_sessions/faults.py",
        "src/petrelhaven/simulator/fleet.py",
        "src/petrelhaven/simulator/resumable/partition.py",
        "src/petrelhaven/simulator/resumable/scenes/cores.py",
        "src/petrelhaven/simulator/resumable/storm.py",
        "src/petrelhaven/simulator/resumable/world.py",
        "src/petrelhaven/simulator/soak.py",
    }
)

WORD = re.compile(r"[A-Z]+(?![a-z])|[A-Z]?[a-z]+|\d+")


def withdrawn_words(text, words=WITHDRAWN):
    """The identifiers of a module that contain a withdrawn word, with their lines."""
    return [
        (token.start[0], token.string)
        for token in tokenize.generate_tokens(io.StringIO(text).readline)
        if token.type == tokenize.NAME
        and not keyword.iskeyword(token.string)
        and any(word.lower() in words for word in WORD.findall(token.string))
    ]


def found_in_modules(words):
    """The modules in which one of `words` stands, with the identifiers."""
    modules = [*(ROOT / "src").rglob("*.py"), *(ROOT / "platform").rglob("*.py")]
    assert len(modules) > 100
    found = {str(p.relative_to(ROOT)): withdrawn_words(p.read_text(), words) for p in modules}
    return {path: names for path, names in found.items() if names}


@pytest.mark.parametrize("words,left", [(OLD_TERMS, NAMES_FROM_OUTSIDE), (WITHDRAWN, NOT_YET)])
def test_no_withdrawn_word_is_in_an_identifier(words, left):
    found = found_in_modules(words)
    assert {path: names for path, names in found.items() if path not in left} == {}
    assert left - set(found) == frozenset(), "gone through: take it out of the list"


@pytest.mark.parametrize("name", ["Nest", "LeaseDesk", "_held", "told_at", "HALL", "sightOf"])
def test_a_withdrawn_word_is_found_in_any_spelling(name):
    assert withdrawn_words(f"x = {name}") == [(1, name)]


@pytest.mark.parametrize("name", ["password", "nested", "remark", "restart", "turnover", "keyword"])
def test_a_word_that_only_contains_a_withdrawn_one_is_free(name):
    assert withdrawn_words(f"x = {name}") == []
