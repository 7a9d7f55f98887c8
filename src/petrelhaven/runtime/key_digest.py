"""Digests of client keys, by which nodes recognize keys without storing them."""

import hashlib
import re

__all__ = ["KEY_DIGEST", "key_digest"]

_HEX_DIGITS = 32
KEY_DIGEST = re.compile(rf"[0-9a-f]{{{_HEX_DIGITS}}}")
"""The pattern of a digest."""


def key_digest(key: str) -> str:
    """Returns the digest of a key; keys are long and random, so no salt is needed."""
    return hashlib.sha256(key.encode("utf-8", "surrogatepass")).hexdigest()[:_HEX_DIGITS]
