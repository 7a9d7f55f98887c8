"""A connection to a member that remembers whose values and which shapes it has."""

__all__ = ["MemberConnection"]

_SHAPES = 64


class MemberConnection:
    """Base of a wire's connection. A wire adds `ask`, `own`, `plain` and `close`; replies come in the order asked.

    `ask(ask, after, alias)` gives a future of a Reply, `own(verb, *args)` one of a status row, `plain(verb, args,
    number)` one of a Reply to a statement said again under its visitor's number, or `-` of the system's own; a lost
    connection fails them with Unreached. `due` is how many replies are still to come, also those that nobody waits for
    any more; only a connection with none due may go to another session.
    """

    due = 0

    def __init__(self):
        self.values, self.shapes, self.owner = {}, {}, None
        self.lost = self.odd = False
        self.on_lost = None

    def cost(self, start_clients):
        """0 fits as it is, 1 fits but for shapes, 2 lacks values, 3 has values of others."""
        if self.odd:
            return 3
        v = start_clients.values
        if self.values == v:
            return 0 if all(s in self.shapes for s in start_clients.prepared.values()) else 1
        return 2 if self.values.keys() <= v.keys() else 3

    def outfit(self, start_clients, ask=None):
        """What must be said before `ask` of `visit`: a list of (verb, args, number), and the prepared name to use."""
        out = []
        if (
            self.odd
            or not self.values.keys() <= start_clients.values.keys()
            or len(self.shapes) > _SHAPES
        ):
            out.append(("reset", (), "-"))
            self.values, self.shapes, self.odd = {}, {}, False
        for k, v in start_clients.values.items():
            if self.values.get(k) != v:
                out.append(("set", (k, v), start_clients.nums[k]))
        alias = None
        if ask is not None and ask.verb == "execute":
            s = start_clients.prepared[ask.name]
            alias = self.shapes.get(s)
            if alias is None:
                alias = f"p{len(self.shapes) + 1}"
                self.shapes[s] = alias
                out.append(("prepare", (alias, s), start_clients.nums["", ask.name]))
        self.values = dict(start_clients.values)
        self.owner = start_clients
        return out, alias
