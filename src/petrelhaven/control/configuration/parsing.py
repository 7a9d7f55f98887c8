"""Reads the operator's configuration from JSON: its text, its types, then its meaning."""

from __future__ import annotations

import json
from typing import Any

from serde import SerdeError, from_dict

from petrelhaven.control.configuration.document import Configuration
from petrelhaven.control.configuration.faults import ROOT, ConfigurationFault, invalid_document
from petrelhaven.control.configuration.type_check import type_faults
from petrelhaven.control.configuration.validation import configuration_faults

__all__ = ["parse_configuration"]


def parse_configuration(text: str | bytes) -> Configuration:
    """Reads and checks a configuration.

    Args:
        text: a JSON document.

    Raises:
        Invalid: it is declined; `details` names every fault by its path. Types are checked first,
            and the meaning only where all types are right.
    """
    document = _parse_json(text)
    faults = list(type_faults(Configuration, document))
    if faults:
        raise invalid_document("manifest declined", faults)
    try:
        configuration: Configuration = from_dict(Configuration, document)
    except SerdeError as error:
        raise invalid_document(
            "manifest declined", [ConfigurationFault(ROOT, str(error))]
        ) from None
    faults = list(configuration_faults(configuration))
    if faults:
        raise invalid_document("manifest declined", faults)
    return configuration


def _parse_json(text: str | bytes) -> Any:  # noqa: ANN401
    try:
        return json.loads(text, object_pairs_hook=_object_without_duplicates)
    except (ValueError, RecursionError) as error:
        fault = ConfigurationFault(ROOT, str(error))
        raise invalid_document("manifest is not JSON", [fault]) from None


def _object_without_duplicates(pairs: list[tuple[str, Any]]) -> dict[str, Any]:
    """A JSON object; ValueError where a key stands twice, of which json.loads would drop one."""
    result: dict[str, Any] = {}
    for key, value in pairs:
        if key in result:
            raise ValueError(f"field {key} twice")
        result[key] = value
    return result
