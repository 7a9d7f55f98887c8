"""A seat's questions to members of the product's own interface, which has no PAUSE: there, moves of offices wait."""

from petrelhaven.runtime.errors import DeadlineExceeded, MemberDeclined, MemberReplaced, NotSent

__all__ = ["MemberWire"]

_ASK_US = 600_000


class _Member:
    """A member under its address; nothing is held open."""

    __slots__ = ("lost", "_w", "_addr", "_name")

    def __init__(self, w, addr, name):
        self._w, self._addr, self._name, self.lost = w, addr, name, False

    async def own(self, verb, *args):
        """The member's row for STATUS; any other verb is declined."""
        if verb != "status":
            raise MemberDeclined(f"members of this interface have no {verb}")
        d = await self._w.status(self._addr, _ASK_US)
        if d.get("member", self._name) != self._name:
            raise MemberReplaced(f"{d['member']} answers there")
        return {"role": d["role"], "term": d["term"], "pos": d["log"], "held": 0}

    def close(self):
        """Forgets the member."""
        self.lost = True


class MemberWire:
    """Opens what a warden asks members over; `wire` asks STATUS."""

    def __init__(self, clock, wire):
        self.clock, self._wire = clock, wire

    async def open(self, addr, group, member, us):
        """A member that answers. Unsent: `mute` if nothing came back, else `refused`. Gone if another answers there."""
        m = _Member(self._wire, addr, member)
        try:
            await self.clock.limit(m.own("status"), us)
        except DeadlineExceeded:
            raise NotSent("mute") from None
        except NotSent:
            raise NotSent("refused") from None
        return m
