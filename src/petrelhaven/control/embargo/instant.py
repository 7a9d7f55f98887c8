"""Release times: what an operator says, as microseconds of UTC."""

import re
import zoneinfo
from datetime import UTC, datetime, timedelta

from dateutil import parser, tz

__all__ = ["instant", "spoken"]

_FORM = re.compile(r"\d{4}-\d\d-\d\dT\d\d:\d\d:\d\d(\.\d{1,6})?(Z|[+-]\d\d:\d\d)?", re.ASCII)
_EPOCH = datetime(1970, 1, 1, tzinfo=UTC)
_US = timedelta(microseconds=1)


def instant(text, zone=""):
    """Microseconds of UTC of an RFC 3339 instant, or of a local time in an IANA zone; ValueError says what is wrong."""
    m = _FORM.fullmatch(text)
    if m is None:
        raise ValueError(
            "must be an instant like 2026-03-01T09:00:00+01:00, or a local time with a zone"
        )
    try:
        at = parser.isoparse(text)
    except ValueError as e:
        raise ValueError(f"is no moment: {e}") from None
    if m[2]:
        if zone:
            raise ValueError("has an offset already; leave the zone out")
    else:
        if not zone:
            raise ValueError("needs an offset, or a zone beside it")
        try:
            there = zoneinfo.ZoneInfo(zone)
        except (ValueError, OSError, zoneinfo.ZoneInfoNotFoundError):
            raise ValueError(f"zone {zone[:40]} is not known") from None
        if not tz.datetime_exists(at, there):
            raise ValueError(f"does not exist in {zone}: clocks are put forward then")
        if tz.datetime_ambiguous(at, there):
            raise ValueError(
                f"comes twice in {zone}: clocks are put back then; say it with an offset"
            )
        at = at.replace(tzinfo=there)
    try:
        us = (at.astimezone(UTC) - _EPOCH) // _US
    except OverflowError:
        raise ValueError("must be between 1970 and 2255") from None
    if not 0 < us < 1 << 53:
        raise ValueError("must be between 1970 and 2255")
    return us


def spoken(us):
    """Microseconds of UTC as an RFC 3339 instant."""
    return (_EPOCH + us * _US).isoformat().replace("+00:00", "Z")
