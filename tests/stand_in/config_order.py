from dataclasses import dataclass

__all__ = ["ConfigOrder"]


@dataclass(eq=False)
class ConfigOrder:
    """A configuration as the operator sent it."""

    config: dict
    sent_at: float
    valid: bool = True
    acked_at: float | None = None
    status: int | None = None

    @property
    def revision(self):
        """Its version."""
        return self.config["Revision"]
