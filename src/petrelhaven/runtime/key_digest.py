"""Digests of clients' keys, by which nodes know keys that they don't store."""

import hashlib
import re

__all__ = ["KEY_DIGEST", "key_digest"]

_HEX_DIGITS = 32
KEY_DIGEST = re.compile(rf"[0-9a-f]{{{_HEX_DIGITS}}}")
"""What a digest looks like."""


def key_digest(key: str) -> str:
    """The digest of a key. Keys are drawn at random and long, so it needs no salt."""
    return hashlib.sha256(key.encode("utf-8", "surrogatepass")).hexdigest()[:_HEX_DIGITS]
