"""Checks that modules have no import cycles, at run time or for type checkers."""

import ast
from pathlib import Path

import pytest

ROOT = Path(__file__).parent.parent
SOURCES = (ROOT / "src", ROOT / "platform")

# Known import cycles that only type checkers follow. Entries are only ever removed; imports at run time have no such
# list.
KNOWN_TYPE_CYCLES: list[set[str]] = []


def modules():
    """Returns the files of all modules of the product and of the platform folder, by module name."""
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
    """Yields the imports that run when a module is imported; `with_types` adds those for type checkers."""
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


def imported_modules(text, names, with_types):
    """Returns the modules of `names` that a module with this text imports."""
    found = set()
    for node in import_statements(ast.parse(text).body, with_types):
        if isinstance(node, ast.Import):
            found |= {alias.name for alias in node.names}
        else:
            assert node.level == 0, "imports are absolute here"
            full_names = {f"{node.module}.{alias.name}" for alias in node.names}
            found |= full_names
            # Importing a submodule from its package does not require the package to be fully initialized.
            if not full_names <= names:
                found.add(node.module)
    return found & names


def import_cycles(graph):
    """Returns the import cycles: sets of modules that all reach each other."""

    def reachable_from(start):
        seen, to_visit = set(), [start]
        while to_visit:
            new = graph[to_visit.pop()] - seen
            seen |= new
            to_visit += new
        return seen

    reachable = {name: reachable_from(name) for name in graph}
    in_cycles = {name for name in graph if name in reachable[name]}
    found = []
    while in_cycles:
        name = min(in_cycles)
        cycle = {other for other in reachable[name] if name in reachable[other]}
        found.append(cycle)
        in_cycles -= cycle
    return found


def project_cycles(with_types):
    files = modules()
    names = set(files)
    return import_cycles(
        {
            name: imported_modules(path.read_text(), names - {name}, with_types)
            for name, path in files.items()
        }
    )


def test_there_are_no_import_cycles_at_run_time():
    assert len(modules()) > 150
    assert project_cycles(with_types=False) == []


def test_type_checking_imports_have_only_the_listed_cycles():
    assert project_cycles(with_types=True) == KNOWN_TYPE_CYCLES


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
        return import_cycles(
            {
                name: imported_modules(module_text, set(texts) - {name}, with_types)
                for name, module_text in texts.items()
            }
        )

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
    graph = {
        name: imported_modules(module_text, set(texts) - {name}, False)
        for name, module_text in texts.items()
    }
    assert import_cycles(graph) == expected


def test_an_import_inside_a_function_is_ignored():
    assert imported_modules("def f():\n    import b", {"b"}, True) == set()
