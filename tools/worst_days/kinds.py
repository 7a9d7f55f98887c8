"""Reads what the bench's verb `kinds` prints: the kinds of trouble and their variants."""

import re
from dataclasses import dataclass, replace

_ENTRY = re.compile(r"^([a-z_]+): (.+)$")
_VARIANTS = re.compile(r"\bhow(?: ([a-z_]+))?:")
_STRENGTH = re.compile(r"\bx(?: s)? \(([\d.]+)\)")
_WORD = re.compile(r"[a-z_]+")


@dataclass(frozen=True, slots=True)
class Kind:
    """One kind of trouble: its variants, and the default of its strength where one is told."""

    name: str
    meaning: str
    variants: tuple[str, ...]
    strength: float | None


def parse_kinds(text: str) -> tuple[Kind, ...]:
    """The kinds in the printed text, in its order, each once."""
    found: dict[str, Kind] = {}
    for line in text.splitlines():
        match = _ENTRY.match(line)
        if match:
            name, meaning = match.groups()
            found.setdefault(name, _kind(name, meaning))
    return tuple(found.values())


def merge_kinds(lists: list[tuple[Kind, ...]]) -> tuple[Kind, ...]:
    """The kinds of several sites, each once, with the variants of all."""
    merged: dict[str, Kind] = {}
    for kinds in lists:
        for kind in kinds:
            known = merged.get(kind.name, kind)
            merged[kind.name] = _with_variants(known, kind.variants)
    return tuple(merged.values())


def with_variants(
    kinds: tuple[Kind, ...], variants: dict[str, tuple[str, ...]]
) -> tuple[Kind, ...]:
    """The kinds with further variants, which are given by kind."""
    return tuple(_with_variants(kind, variants.get(kind.name, ())) for kind in kinds)


def _with_variants(kind: Kind, variants: tuple[str, ...]) -> Kind:
    return replace(kind, variants=tuple(dict.fromkeys([*kind.variants, *variants])))


def _kind(name: str, meaning: str) -> Kind:
    strength = _STRENGTH.search(meaning)
    return Kind(name, meaning, _variants(meaning), float(strength[1]) if strength else None)


def _variants(meaning: str) -> tuple[str, ...]:
    """Every word after a `how:`, without what is in brackets; `how WORD:` names one itself."""
    words: list[str] = []
    for match in _VARIANTS.finditer(meaning):
        words.extend(
            [match[1]] if match[1] else _WORD.findall(_outside_brackets(meaning[match.end() :]))
        )
    return tuple(dict.fromkeys(words))


def _outside_brackets(text: str) -> str:
    """The text up to the end of its clause, without what stands in brackets."""
    kept: list[str] = []
    depth = 0
    for char in text:
        if depth == 0 and char in ";)":
            break
        depth += (char == "(") - (char == ")")
        if depth == 0 and char != ")":
            kept.append(char)
    return "".join(kept)
