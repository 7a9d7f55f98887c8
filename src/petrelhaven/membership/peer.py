"""What one node believes of another."""

from transitions import Machine

__all__ = ["Peer", "rank"]

_RANK = {"alive": 0, "suspect": 1, "gone": 2}


def rank(state, inc):
    """Order of news: a higher incarnation wins, then the graver state."""
    return inc, _RANK[state]


class Peer:
    """A peer with an explicit state; `turn` is the one function that changes it."""

    __slots__ = (
        "name",
        "role",
        "hall",
        "addr",
        "inc",
        "state",
        "since",
        "spread",
        "heard",
        "__dict__",
    )
    _machine = Machine(
        model=None,
        states=list(_RANK),
        initial="alive",
        auto_transitions=False,
        transitions=[
            {"trigger": "hear", "source": ["alive", "suspect", "gone"], "dest": "alive"},
            {"trigger": "doubt", "source": ["alive", "suspect"], "dest": "suspect"},
            {"trigger": "lose", "source": ["alive", "suspect", "gone"], "dest": "gone"},
        ],
    )
    _VERB = {"alive": "hear", "suspect": "doubt", "gone": "lose"}

    def __init__(self, name, role, hall, addr, inc, now):
        self.name, self.role, self.hall, self.addr, self.inc = name, role, hall, addr, inc
        self.since, self.spread, self.heard = now, 0, -1 << 60
        self._machine.add_model(self)

    def turn(self, state, inc, now):
        """Moves to `state` at incarnation `inc`."""
        if state == "suspect" and self.state == "gone":
            self.hear()
        getattr(self, self._VERB[state])()
        self.inc, self.since, self.spread = inc, now, 0

    def news(self):
        """The peer as a row of news."""
        return [self.name, self.role, self.hall, self.addr, self.inc, self.state]

    def forget(self):
        """Detaches the peer from its machine."""
        self._machine.remove_model(self)
