import asyncio

__all__ = ["Signal"]


class Signal:
    """Wakes everyone who waits for a condition to be looked at again."""

    def __init__(self):
        self._event = asyncio.Event()

    def fire(self):
        """Has the conditions looked at again."""
        self._event.set()
        self._event = asyncio.Event()

    async def wait_for(self, check):
        """Waits until `check` answers truly."""
        while not check():
            await self._event.wait()
