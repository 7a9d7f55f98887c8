"""One message from a node to a simulated member."""

__all__ = ["Order"]


class Order:
    """`num` is the client's number or `-`; `sent` and `node` tell when and from which machine it left."""

    __slots__ = ("num", "verb", "args", "text", "after", "sent", "node")

    def __init__(self, num, verb, args=(), text="", after=None):
        self.num, self.verb, self.args, self.text, self.after = num, verb, args, text, after
        self.sent, self.node = 0.0, ""
