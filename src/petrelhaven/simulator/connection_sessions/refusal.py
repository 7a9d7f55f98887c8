"""What a simulated member answers instead of a result."""

__all__ = ["Refusal"]


class Refusal(Exception):
    """`code` is a Reply's code."""

    def __init__(self, code):
        super().__init__(code)
        self.code = code
