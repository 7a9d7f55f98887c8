"""What one node believes of another."""

from collections.abc import Callable

from transitions import Machine

from petrelhaven.membership.update import ALIVE, GONE, SUSPECT, PeerUpdate

__all__ = ["Peer"]

_NEVER_US = -1 << 60


class Peer:
    """A peer with an explicit state; `apply` is the one function that changes it.

    Attributes:
        changed_at: when its state last changed, in clock microseconds.
        last_contact: when it last sent a message to this node itself, in clock microseconds.
        spread: how often its present state was passed on.
        departed: whether it reported itself that it leaves.
    """

    __slots__ = (
        "name",
        "role",
        "zone",
        "addr",
        "incarnation",
        "state",
        "changed_at",
        "spread",
        "last_contact",
        "departed",
        "__dict__",
    )
    state: str
    revive: Callable[[], bool]
    _machine = Machine(
        model=None,
        states=[ALIVE, SUSPECT, GONE],
        initial=ALIVE,
        auto_transitions=False,
        transitions=[
            {"trigger": "revive", "source": [ALIVE, SUSPECT, GONE], "dest": ALIVE},
            {"trigger": "suspect", "source": [ALIVE, SUSPECT], "dest": SUSPECT},
            {"trigger": "remove", "source": [ALIVE, SUSPECT, GONE], "dest": GONE},
        ],
    )
    _TRIGGER = {ALIVE: "revive", SUSPECT: "suspect", GONE: "remove"}

    def __init__(self, update: PeerUpdate, now: int) -> None:
        """Adds a peer that `update` is the first to name, as alive; `now` in clock microseconds."""
        self.name = update.name
        self.role = update.role
        self.zone = update.zone
        self.addr = update.address
        self.incarnation = update.incarnation
        self.changed_at = now
        self.spread = 0
        self.last_contact = _NEVER_US
        self.departed = False
        self._machine.add_model(self)

    def apply(self, state: str, incarnation: int, now: int) -> None:
        """Changes to `state` at `incarnation`; `now` in clock microseconds."""
        if state == SUSPECT and self.state == GONE:
            self.revive()
        getattr(self, self._TRIGGER[state])()
        self.incarnation, self.changed_at, self.spread = incarnation, now, 0
        self.departed = self.departed and state == GONE

    def update(self) -> PeerUpdate:
        """What this node reports of the peer."""
        return PeerUpdate(self.name, self.role, self.zone, self.addr, self.incarnation, self.state)
