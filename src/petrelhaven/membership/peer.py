"""What one node believes of another."""

from collections.abc import Callable

from transitions import Machine

from petrelhaven.membership.news import ALIVE, GONE, SUSPECT, PeerNews

__all__ = ["Peer"]

_NEVER_US = -1 << 60


class Peer:
    """A peer with an explicit state; `turn` is the one function that changes it.

    `since` is when its state last changed and `heard` when it last spoke to this node itself (clock
    microseconds); `spread` counts how often this news was passed on; `departed` tells that it said
    itself that it leaves.
    """

    __slots__ = (
        "name",
        "role",
        "zone",
        "addr",
        "incarnation",
        "state",
        "since",
        "spread",
        "heard",
        "departed",
        "__dict__",
    )
    state: str
    hear: Callable[[], bool]
    _machine = Machine(
        model=None,
        states=[ALIVE, SUSPECT, GONE],
        initial=ALIVE,
        auto_transitions=False,
        transitions=[
            {"trigger": "hear", "source": [ALIVE, SUSPECT, GONE], "dest": ALIVE},
            {"trigger": "doubt", "source": [ALIVE, SUSPECT], "dest": SUSPECT},
            {"trigger": "lose", "source": [ALIVE, SUSPECT, GONE], "dest": GONE},
        ],
    )
    _TRIGGER = {ALIVE: "hear", SUSPECT: "doubt", GONE: "lose"}

    def __init__(self, news: PeerNews, now: int) -> None:
        """Takes a peer that is first heard of, as alive."""
        self.name = news.name
        self.role = news.role
        self.zone = news.zone
        self.addr = news.address
        self.incarnation = news.incarnation
        self.since = now
        self.spread = 0
        self.heard = _NEVER_US
        self.departed = False
        self._machine.add_model(self)

    def turn(self, state: str, incarnation: int, now: int) -> None:
        """Moves to `state` at `incarnation`."""
        if state == SUSPECT and self.state == GONE:
            self.hear()
        getattr(self, self._TRIGGER[state])()
        self.incarnation, self.since, self.spread = incarnation, now, 0
        self.departed = self.departed and state == GONE

    def news(self) -> PeerNews:
        """What this node says of the peer."""
        return PeerNews(self.name, self.role, self.zone, self.addr, self.incarnation, self.state)

    def forget(self) -> None:
        """Detaches the peer from its machine."""
        self._machine.remove_model(self)
