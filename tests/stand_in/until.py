import asyncio

__all__ = ["until"]


async def until(check, seconds=120.0, gap=0.02):
    """Waits until `check` answers truly, at most `seconds`, which only end a hang; returns what it answered."""
    loop = asyncio.get_running_loop()
    async with asyncio.timeout(seconds):
        while not (answer := check()):
            tick = asyncio.Event()
            loop.call_later(gap, tick.set)
            await tick.wait()
    return answer
