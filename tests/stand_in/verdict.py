from typing import NamedTuple

from .violation import Violation

__all__ = ["Verdict"]


class Verdict(NamedTuple):
    """What a scene came to: broken rules, operations owed, served and served in aim, processes that ended alone, why
    operations failed, and unexpected errors that processes logged.
    """

    violations: list[Violation]
    owed: int
    served: int
    in_aim: int
    own_ends: dict
    failures: dict
    logged_errors: list[str]

    @property
    def share(self):
        """The share of the owed operations that was served."""
        return self.served / self.owed if self.owed else 0.0
