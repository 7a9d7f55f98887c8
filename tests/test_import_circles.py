"""Modules import in one direction: none leads back to itself, at run time or for types."""

import ast
from pathlib import Path

import pytest

ROOT = Path(__file__).parent.parent
SOURCES = (ROOT / "src", ROOT / "platform")

# Circles of imports that only type checkers follow, still open. A circle leaves this list when it is mended; none is
# added, and there is no such list for imports at run time.
OPEN_FOR_TYPES: list[set[str]] = []


def modules():
    """Every module of the product and of the platform's folder: its file by its name."""
    found = {}
    for source in SOURCES:
        for path in sorted(source.rglob("*.py")):
            parts = list(path.relative_to(source).with_suffix("").parts)
            if parts[-1] == "__init__":
                parts.pop()
            found[".".join(parts)] = path
    return found


def is_type_checking(test):
    return ast.unparse(test) in ("TYPE_CHECKING", "typing.TYPE_CHECKING")


def import_statements(body, with_types):
    """The import statements that run when a module is imported; `with_types` adds those for type checkers."""
    for node in body:
        if isinstance(node, ast.Import | ast.ImportFrom):
            yield node
        elif isinstance(node, ast.If) and is_type_checking(node.test) and not with_types:
            yield from import_statements(node.orelse, with_types)
        elif not isinstance(node, ast.FunctionDef | ast.AsyncFunctionDef | ast.Lambda):
            for field in ("body", "orelse", "finalbody"):
                inner = getattr(node, field, [])
                yield from import_statements(inner if isinstance(inner, list) else [], with_types)
            for handler in getattr(node, "handlers", []):
                yield from import_statements(handler.body, with_types)


def imported(text, names, with_types):
    """Which modules of `names` a module with this text imports."""
    found = set()
    for node in import_statements(ast.parse(text).body, with_types):
        if isinstance(node, ast.Import):
            found |= {alias.name for alias in node.names}
        else:
            assert node.level == 0, "imports are absolute here"
            full_names = {f"{node.module}.{alias.name}" for alias in node.names}
            found |= full_names
            # Of a module imported from its package, the package need not have been run to its end.
            if not full_names <= names:
                found.add(node.module)
    return found & names


def circles(graph):
    """The sets of modules each of which leads to every other one of its set."""

    def reached(start):
        seen, to_visit = set(), [start]
        while to_visit:
            new = graph[to_visit.pop()] - seen
            seen |= new
            to_visit += new
        return seen

    reach = {name: reached(name) for name in graph}
    in_circles = {name for name in graph if name in reach[name]}
    found = []
    while in_circles:
        name = min(in_circles)
        circle = {other for other in reach[name] if name in reach[other]}
        found.append(circle)
        in_circles -= circle
    return found


def circles_here(with_types):
    files = modules()
    names = set(files)
    return circles({n: imported(p.read_text(), names - {n}, with_types) for n, p in files.items()})


def test_there_are_no_import_cycles_at_run_time():
    assert len(modules()) > 150
    assert circles_here(with_types=False) == []


def test_type_checking_imports_have_only_the_listed_cycles():
    assert circles_here(with_types=True) == OPEN_FOR_TYPES


@pytest.mark.parametrize(
    ("text", "at_run_time"),
    [
        ("import b", True),
        ("from b import x", True),
        ("from pkg import b", True),
        ("try:\n    import b\nexcept ImportError:\n    pass", True),
        ("try:\n    pass\nexcept ImportError:\n    import b", True),
        ("if DEBUG:\n    import b", True),
        ("with quiet():\n    import b", True),
        ("class A:\n    import b", True),
        ("if TYPE_CHECKING:\n    import b", False),
        ("if TYPE_CHECKING:\n    pass\nelse:\n    import b", True),
    ],
)
def test_an_import_cycle_is_found_in_every_form_of_import(text, at_run_time):
    texts = {"a": text, "b": "import a", "c": "import a", "pkg.b": "import a", "pkg": ""}

    def found(with_types):
        return circles({n: imported(t, set(texts) - {n}, with_types) for n, t in texts.items()})

    expected = {"a", "pkg.b"} if "pkg" in text else {"a", "b"}
    assert found(with_types=True) == [expected]
    assert found(with_types=False) == ([expected] if at_run_time else [])


@pytest.mark.parametrize(
    ("text", "expected"),
    [
        ("from pkg import b", []),
        ("from pkg.b import x", []),
        ("from pkg import x", [{"pkg", "pkg.a"}]),
        ("from pkg import b, x", [{"pkg", "pkg.a"}]),
        ("import pkg", [{"pkg", "pkg.a"}]),
    ],
)
def test_a_package_is_in_a_cycle_if_its_modules_import_its_own_names(text, expected):
    texts = {"pkg": "from pkg.a import main", "pkg.a": text, "pkg.b": ""}
    graph = {n: imported(t, set(texts) - {n}, False) for n, t in texts.items()}
    assert circles(graph) == expected


def test_an_import_inside_a_function_is_ignored():
    assert imported("def f():\n    import b", {"b"}, True) == set()
