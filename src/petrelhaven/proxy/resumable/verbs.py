"""The verbs of clients' statements on the kept path, checked field by field."""

from typing import Any

from petrelhaven.runtime.errors import Malformed

__all__ = ["READS", "WRITES", "op"]

READS = {"get": ("key",), "scan": ("prefix",), "show": ("name",)}
WRITES = {"put": ("key", "value"), "add": ("key", "value"), "del": ("key",)}

_SHOWN_LETTERS = 40


def op(statement: dict[str, Any]) -> dict[str, Any]:
    """The step that a member is sent for a statement.

    Raises:
        Malformed: the verb is not known, or a field is missing or of another type.
    """
    verb = statement.get("verb")
    if not isinstance(verb, str):
        raise Malformed("verb must be a string")
    if verb == "exec":
        return _execute(statement)
    fields = READS.get(verb) or WRITES.get(verb)
    if fields is None:
        raise Malformed(f"unknown verb {verb[:_SHOWN_LETTERS]}")
    for field in fields:
        if field not in statement:
            raise Malformed(f"{verb} needs {field}")
        if field != "value" and not isinstance(statement[field], str):
            raise Malformed(f"{verb} needs {field}")
    if verb == "add" and not _is_integer(statement["value"]):
        raise Malformed("add needs a whole number")
    return {"v": verb, **{field: statement[field] for field in fields}}


def _execute(statement: dict[str, Any]) -> dict[str, Any]:
    name, arguments = statement.get("name"), statement.get("args", [])
    if not isinstance(name, str) or not isinstance(arguments, list):
        raise Malformed("exec needs name and args")
    return {"v": "exec", "name": name, "args": arguments}


def _is_integer(value: object) -> bool:
    """Whether a member can add `value`; words are left to it to judge."""
    return type(value) is int or isinstance(value, str)
