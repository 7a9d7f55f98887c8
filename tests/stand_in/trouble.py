from typing import NamedTuple

__all__ = ["Trouble"]


class Trouble(NamedTuple):
    """A span of trouble; `machines` tells whether it struck machines of the system, `planned` whether it was work.

    `names` are the machines that it puts out of touch; None stands for all of them, as does a machine of control.
    """

    at: float
    until: float
    name: str
    machines: bool = True
    planned: bool = False
    names: tuple[str, ...] | None = None

    def puts_out_of_touch(self, machine):
        """Whether it puts the machine of this name out of touch while it lasts."""
        return self.machines and (self.names is None or machine in self.names)
