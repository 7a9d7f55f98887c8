"""Compares a parsed JSON document with the field types of a dataclass."""

from __future__ import annotations

import dataclasses
import typing
from collections.abc import Iterator

from petrelhaven.control.configuration.faults import ROOT, ConfigurationFault, join_path

__all__ = ["type_faults"]

_SCALAR_DESCRIPTIONS = {int: "a whole number", str: "a string", bool: "true or false"}


def type_faults(
    expected: typing.Any,  # noqa: ANN401 (a class, or a generic alias like list[str])
    value: object,
    path: str = "",
) -> Iterator[ConfigurationFault]:
    """Yields a fault for each place where `value` doesn't have the type `expected`.

    Args:
        expected: a dataclass, `int`, `bool`, `str`, `dict[...]`, or a `list[...]` of any of these.
        value: the part of the JSON document at `path`. A bool doesn't count as an int.
        path: the place of `value` in the document; empty for the document itself.

    Returns:
        The faults; those of unknown fields of an object come before those of its known fields.
    """
    origin = typing.get_origin(expected)
    if dataclasses.is_dataclass(expected):
        yield from _object_faults(expected, value, path)
    elif origin is list:
        yield from _list_faults(typing.get_args(expected)[0], value, path)
    elif origin is dict:
        if not isinstance(value, dict):
            yield ConfigurationFault(path, "must be an object")
    elif type(value) is not expected:
        yield ConfigurationFault(path, f"must be {_SCALAR_DESCRIPTIONS[expected]}")


def _object_faults(expected: typing.Any, value: object, path: str) -> Iterator[ConfigurationFault]:  # noqa: ANN401
    if not isinstance(value, dict):
        yield ConfigurationFault(path or ROOT, "must be an object")
        return
    fields = {
        field.metadata.get("serde_rename", field.name): field
        for field in dataclasses.fields(expected)
    }
    for key in value:
        if key not in fields:
            yield ConfigurationFault(join_path(path, key or "(empty)"), "unknown field")
    types = typing.get_type_hints(expected)
    for key, field in fields.items():
        if key in value:
            yield from type_faults(types[field.name], value[key], join_path(path, key))
        elif _is_required(field):
            yield ConfigurationFault(join_path(path, key), "missing")


def _list_faults(expected: typing.Any, value: object, path: str) -> Iterator[ConfigurationFault]:  # noqa: ANN401
    if not isinstance(value, list):
        yield ConfigurationFault(path, "must be a list")
        return
    for index, item in enumerate(value):
        yield from type_faults(expected, item, f"{path}[{index}]")


def _is_required(field: dataclasses.Field[typing.Any]) -> bool:
    return field.default is dataclasses.MISSING and field.default_factory is dataclasses.MISSING
