"""Converts instants between the text of operators and microseconds of UTC since 1970."""

from __future__ import annotations

import re
import zoneinfo
from datetime import UTC, datetime, timedelta

from dateutil import parser, tz

__all__ = ["format_instant", "parse_instant"]

_INSTANT_PATTERN = re.compile(
    r"\d{4}-\d\d-\d\dT\d\d:\d\d:\d\d(\.\d{1,6})?(?P<offset>Z|[+-]\d\d:\d\d)?", re.ASCII
)
_EPOCH = datetime(1970, 1, 1, tzinfo=UTC)
_MICROSECOND = timedelta(microseconds=1)
_END_US = 1 << 53  # a time in the year 2255
_OUT_OF_RANGE = "must be between 1970 and 2255"
_MAX_ZONE_CHARS_SHOWN = 40


def parse_instant(text: str, zone: str = "") -> int:
    """Parses an instant into microseconds of UTC since 1970.

    Args:
        text: An RFC 3339 instant with its offset, or a local time without one.
        zone: The IANA time zone of a local time, such as Europe/Oslo.

    Raises:
        ValueError: `text` isn't an instant, or is ambiguous; the message says what is wrong.
    """
    match = _INSTANT_PATTERN.fullmatch(text)
    if match is None:
        raise ValueError(
            "must be an instant like 2026-03-01T09:00:00+01:00, or a local time with a zone"
        )
    try:
        parsed = parser.isoparse(text)
    except ValueError as error:
        raise ValueError(f"is no moment: {error}") from None
    if not match["offset"]:
        parsed = _localize(parsed, zone)
    elif zone:
        raise ValueError("has an offset already; leave the zone out")
    return _to_microseconds(parsed)


def format_instant(instant_us: int) -> str:
    """Formats microseconds of UTC since 1970 as an RFC 3339 instant."""
    return (_EPOCH + instant_us * _MICROSECOND).isoformat().replace("+00:00", "Z")


def _localize(local: datetime, name: str) -> datetime:
    """Attaches the time zone `name` to `local`, which must occur there exactly once."""
    if not name:
        raise ValueError("needs an offset, or a zone beside it")
    try:
        zone = zoneinfo.ZoneInfo(name)
    except (ValueError, OSError, zoneinfo.ZoneInfoNotFoundError):
        raise ValueError(f"zone {name[:_MAX_ZONE_CHARS_SHOWN]} is not known") from None
    if not tz.datetime_exists(local, zone):
        raise ValueError(f"does not exist in {name}: clocks are put forward then")
    if tz.datetime_ambiguous(local, zone):
        raise ValueError(f"comes twice in {name}: clocks are put back then; say it with an offset")
    return local.replace(tzinfo=zone)


def _to_microseconds(instant: datetime) -> int:
    try:
        result = (instant.astimezone(UTC) - _EPOCH) // _MICROSECOND
    except OverflowError:
        raise ValueError(_OUT_OF_RANGE) from None
    if not 0 < result < _END_US:
        raise ValueError(_OUT_OF_RANGE)
    return result
