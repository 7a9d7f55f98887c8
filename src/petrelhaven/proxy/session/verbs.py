"""The verbs of visitors' statements, checked field by field."""

from petrelhaven.runtime.errors import Malformed

__all__ = ["READS", "WRITES", "op"]

READS = {"get": ("key",), "scan": ("prefix",), "show": ("name",)}
WRITES = {"put": ("key", "value"), "add": ("key", "value"), "del": ("key",)}


def op(d):
    """The step that a member is sent for statement `d`."""
    v = d.get("verb")
    if not isinstance(v, str):
        raise Malformed("verb must be a string")
    fs = READS.get(v) or WRITES.get(v)
    if v == "exec":
        if not isinstance(d.get("name"), str) or not isinstance(d.get("args", []), list):
            raise Malformed("exec needs name and args")
        return {"v": "exec", "name": d["name"], "args": d.get("args", [])}
    if fs is None:
        raise Malformed(f"unknown verb {str(v)[:40]}")
    for f in fs:
        if f not in d or (f != "value" and not isinstance(d[f], str)):
            raise Malformed(f"{v} needs {f}")
    if v == "add" and type(d["value"]) is not int and not isinstance(d["value"], str):
        raise Malformed("add needs a whole number")
    return {"v": v, **{f: d[f] for f in fs}}
