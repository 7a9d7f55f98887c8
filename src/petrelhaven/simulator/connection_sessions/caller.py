"""A core's way to the simulated platform."""

__all__ = ["FailoverCaller"]


class FailoverCaller:
    """Asks the platform from one machine."""

    def __init__(self, net, machine, platform):
        self._net, self._machine, self._platform = net, machine, platform

    async def promote(self, group, member, fence, holder):
        """One failover call."""
        p = self._platform

        async def there():
            return await p.node.promote(group, member, fence, holder)

        return await self._net.trip(self._machine, p, there, 3_000_000, fresh=True)
