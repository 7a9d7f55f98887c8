"""Typed bodies of the failure detection messages.

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
    """A probe, a request for an indirect probe, or the acknowledgement of either.

    Attributes:
        nonce: the number that matches an acknowledgement to its request.
        source: the link address of the sender.
        rows: updates about peers, not validated yet.
        target: the link address to probe; only in a request for an indirect probe.
    """

    nonce: int
    source: str
    rows: Any
    target: str | None = None

    def to_body(self) -> dict[str, Any]:
        """Returns the fields as they are sent."""
        body = {"nonce": self.nonce, "src": self.source, "news": self.rows}
        if self.target is not None:
            body["to"] = self.target
        return body

    @classmethod
    def from_body(cls, body: Mapping[str, Any]) -> Probe:
        """Creates a probe from received fields."""
        return cls(body["nonce"], body["src"], body["news"], body.get("to"))
