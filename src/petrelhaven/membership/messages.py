"""Typed bodies of the messages of failure detection.

The fields on the wire are those of the contracts in `transport/contracts`; only this module and
`update` translate between them and the names used in the code.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any

__all__ = ["Probe"]


@dataclass(frozen=True, slots=True)
class Probe:
    """A probe, the request for a second opinion, or the acknowledgement of either.

    Attributes:
        nonce: the number by which the sender knows its acknowledgement.
        source: the link address of the sender.
        rows: updates about peers, not checked yet.
        target: the link address to probe for the sender; only in a request for a second opinion.
    """

    nonce: int
    source: str
    rows: Any
    target: str | None = None

    def to_body(self) -> dict[str, Any]:
        """The fields as they are sent."""
        body = {"nonce": self.nonce, "src": self.source, "news": self.rows}
        if self.target is not None:
            body["to"] = self.target
        return body

    @classmethod
    def from_body(cls, body: Mapping[str, Any]) -> Probe:
        """Reads the fields as they came in."""
        return cls(body["nonce"], body["src"], body["news"], body.get("to"))
