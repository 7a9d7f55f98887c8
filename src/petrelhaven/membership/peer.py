"""The state of a peer in the view of one node."""

from collections.abc import Callable

from transitions import Machine

from petrelhaven.membership.update import ALIVE, GONE, SUSPECT, PeerUpdate

__all__ = ["Peer"]

_NEVER_US = -1 << 60


class Peer:
    """A peer and its membership state, which only `apply` changes.

    Attributes:
        changed_at: when the state last changed, in microseconds of the node's clock.
        last_contact: when the peer last sent a message to this node, in microseconds of the clock.
        transmit_count: how often its current state was sent to other nodes.
        departed: whether the peer itself announced that it leaves.
    """

    __slots__ = (
        "name",
        "role",
        "zone",
        "addr",
        "incarnation",
        "state",
        "changed_at",
        "transmit_count",
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
    _TRIGGERS = {ALIVE: "revive", SUSPECT: "suspect", GONE: "remove"}

    def __init__(self, update: PeerUpdate, now: int) -> None:
        """Creates a peer from the first update about it, in state ALIVE; `now` in microseconds."""
        self.name = update.name
        self.role = update.role
        self.zone = update.zone
        self.addr = update.address
        self.incarnation = update.incarnation
        self.changed_at = now
        self.transmit_count = 0
        self.last_contact = _NEVER_US
        self.departed = False
        self._machine.add_model(self)

    def apply(self, state: str, incarnation: int, now: int) -> None:
        """Changes the peer to `state` at `incarnation`; `now` in microseconds."""
        if state == SUSPECT and self.state == GONE:
            self.revive()
        getattr(self, self._TRIGGERS[state])()
        self.incarnation, self.changed_at, self.transmit_count = incarnation, now, 0
        self.departed = self.departed and state == GONE

    def update(self) -> PeerUpdate:
        """Returns the update that reports this peer to other nodes."""
        return PeerUpdate(self.name, self.role, self.zone, self.addr, self.incarnation, self.state)
