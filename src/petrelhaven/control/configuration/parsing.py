"""Parses the operator's configuration from JSON and validates its types and values."""

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
    """Parses and validates a configuration.

    Args:
        text: a JSON document.

    Raises:
        Invalid: the configuration has faults, which `details` lists by path. Values are checked
            only if all types are valid.
    """
    document = _parse_json(text)
    faults = list(type_faults(Configuration, document))
    if faults:
        raise invalid_document("invalid configuration", faults)
    try:
        configuration: Configuration = from_dict(Configuration, document)
    except SerdeError as error:
        raise invalid_document(
            "invalid configuration", [ConfigurationFault(ROOT, str(error))]
        ) from None
    faults = list(configuration_faults(configuration))
    if faults:
        raise invalid_document("invalid configuration", faults)
    return configuration


def _parse_json(text: str | bytes) -> Any:  # noqa: ANN401
    try:
        return json.loads(text, object_pairs_hook=_object_without_duplicates)
    except (ValueError, RecursionError) as error:
        fault = ConfigurationFault(ROOT, str(error))
        raise invalid_document("configuration is not valid JSON", [fault]) from None


def _object_without_duplicates(pairs: list[tuple[str, Any]]) -> dict[str, Any]:
    """Builds a JSON object; raises ValueError on duplicate keys, which json.loads would drop."""
    fields: dict[str, Any] = {}
    for key, value in pairs:
        if key in fields:
            raise ValueError(f"field {key} twice")
        fields[key] = value
    return fields
