"""Writes a day as TOML text.

The standard library reads TOML and does not write it. Only what a site file holds is written:
numbers, strings, booleans, lists and tables. Tables below the day are written inline, as in the
site files.
"""

import json

TomlValue = bool | int | float | str | list["TomlValue"] | dict[str, "TomlValue"]


def inline(value: TomlValue) -> str:
    """The value on one line."""
    if isinstance(value, bool):
        return "true" if value else "false"
    if isinstance(value, int | float):
        return repr(value)
    if isinstance(value, str):
        return json.dumps(value, ensure_ascii=False)
    if isinstance(value, list):
        return "[" + ", ".join(inline(item) for item in value) + "]"
    fields = ", ".join(f"{key} = {inline(item)}" for key, item in value.items())
    return "{ " + fields + " }"


def day_table(fields: dict[str, TomlValue]) -> str:
    """The text of a file with one `[[day]]` that holds these fields."""
    lines = ["[[day]]"]
    for key, value in fields.items():
        lines.extend(_field(key, value))
    return "\n".join(lines) + "\n"


def _field(key: str, value: TomlValue) -> list[str]:
    """One line for a field; one line an item for a list of tables."""
    if not isinstance(value, list) or not value or not isinstance(value[0], dict):
        return [f"{key} = {inline(value)}"]
    items = [f"  {inline(item)}," for item in value]
    return [f"{key} = [", *items, "]"]
