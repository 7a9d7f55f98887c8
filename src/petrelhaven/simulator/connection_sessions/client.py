"""A client of the path where sessions live with their connection: operations, tries, what it was told."""

from petrelhaven.proxy.session.statement import Statement as ClientStatement
from petrelhaven.runtime.errors import DeadlineExceeded, Fault
from petrelhaven.simulator.connection_sessions.attempt import PROMISES, Attempt
from petrelhaven.simulator.connection_sessions.front import Front
from petrelhaven.simulator.connection_sessions.statement import Statement

__all__ = ["Client"]

_DEADLINE_US = 4_000_000
_NAMES = ("s1", "s2")
_TRIES = 4


class Client:
    """One session that is opened again when it is lost; operations one after the other, tried again as a whole."""

    def __init__(
        self, fleet, num, rng, pause_us=120_000, browsing=False, transactions=0.3, writes=0.35
    ):
        self.fleet, self.num, self.rng, self.pause_us = fleet, num, rng, pause_us
        self.group = rng.choice(sorted(fleet.groups))
        self.host = self.group + ("-browse" if browsing else "")
        self.stale_us = fleet.stale_us if browsing else 0
        self.mix = (transactions, 0 if browsing else writes)
        self.stop = self.done = False
        self.served = self.given_up = 0
        self._front, self._state = None, "I"
        self._values, self._prepared = {}, {}
        self._nums = 0

    @property
    def _clock(self):
        return self.fleet.out.clock

    async def run(self):
        """Operates until told to stop."""
        try:
            while not self.stop:
                await self._clock.sleep(int(self.pause_us * self.rng.uniform(0.5, 1.5)))
                if await self._operate():
                    self.served += 1
                else:
                    self.given_up += 1
        finally:
            self.done = True
            self._close()

    async def _operate(self):
        end = self._clock.now() + (
            _DEADLINE_US if self.rng.random() > 0.02 else int(self.rng.uniform(5_000, 80_000))
        )
        plan = self._plan()
        for _ in range(_TRIES):
            if self._clock.now() >= end:
                break
            t = Attempt(self.num, self.group, self.stale_us, plan[0][0] == "begin")
            self.fleet.history.attempts.append(t)
            try:
                await self._attempt(t, plan, end)
                if t.outcome == "ok":
                    return True
            except Fault:
                self._close()
            if self._state != "I":
                self._close()
            o = t.outcome
            if not (
                o in PROMISES or o == "failed" and not any(w for _, w in plan) or not t.sent_effect
            ):
                break
            await self._clock.sleep(int(self.rng.uniform(20_000, 150_000)))
        return False

    def _plan(self):
        r = self.rng
        if r.random() >= self.mix[0]:
            w = r.random() < self.mix[1]
            return [("access", w)]
        steps = [
            ("access", r.random() < max(self.mix[1], 0.3) and self.mix[1] > 0)
            for _ in range(r.randint(1, 3))
        ]
        only = not any(w for _, w in steps) and (r.random() < 0.6 or not self.mix[1])
        end = r.choices(("commit", "rollback", "leave"), (17, 2, 1))[0]
        return [("begin", not only), *steps, (end, False)]

    async def _attempt(self, t, plan, end):
        await self._open(end)
        for i, (verb, writes) in enumerate(plan):
            if i:
                us = (
                    self.rng.expovariate(1 / 25_000)
                    if self.rng.random() > 0.005
                    else self.rng.uniform(2.5e6, 3.7e6)
                )
                await self._clock.sleep(int(us))
            if verb == "leave":
                self._close()
                return
            a = (
                self._access(writes)
                if verb == "access"
                else ClientStatement(self._num(), verb, verb, writes=writes)
            )
            if await self._ask(t, a, end):
                if self._state in ("T", "E") and self._front is not None:
                    await self._ask(
                        t,
                        ClientStatement(self._num(), "rollback", "rollback"),
                        self._clock.now() + 2_000_000,
                    )
                return

    def _num(self):
        self._nums += 1
        return f"{self.num}.{self._nums}"

    def _access(self, writes):
        kind, key = ("put" if writes else "get"), f"k{self.rng.randrange(12)}"
        words = f"{key} {self.num}.{self._nums}v" if writes else key
        ns = [n for n, s in self._prepared.items() if s.startswith(kind)]
        if ns and self.rng.random() < 0.5:
            n = self.rng.choice(ns)
            return ClientStatement(
                self._num(),
                "execute",
                f"execute {n} {words}",
                name=n,
                data=words,
                prepared_text=self._prepared[n],
            )
        return ClientStatement(
            self._num(), "write" if writes else "read", f"{kind} {words}", writes=writes
        )

    async def _ask(self, t, a, end):
        """Asks one statement; its code if it was not served."""
        text = a.data if a.verb == "execute" else a.text
        s = Statement(
            a.number,
            a.verb,
            text,
            a.prepared_text or None,
            dict(self._values),
            self.fleet.loop.time(),
        )
        t.statements.append(s)
        try:
            r = await self._clock.limit(self._front.ask(a), max(10_000, end - self._clock.now()))
        except Fault as e:
            s.outcome = "silent" if isinstance(e, DeadlineExceeded) else "cut"
            raise
        finally:
            s.ended = self.fleet.loop.time()
        self._state = r.state
        s.outcome, s.stamp, s.rows = r.code or "ok", r.stamp, tuple(r.rows)
        return r.code

    async def _open(self, end):
        if self._front is not None and not self._front.lost and self.rng.random() > 0.03:
            x = self.rng.random()
            if x < 0.1:
                await self._set(end)
            elif x < 0.15 and self._prepared:
                n = self.rng.choice(sorted(self._prepared))
                await self._request(ClientStatement(self._num(), "forget", "forget", name=n), end)
                del self._prepared[n]
                await self._prepare(n, end)
            return
        self._close()
        self._front = await self._connect(self.rng.choice(self.fleet.edges))
        for _ in range(self.rng.randrange(3)):
            await self._set(end)
        for n in _NAMES:
            if self.rng.random() < 0.7:
                await self._prepare(n, end)

    async def _connect(self, edge):
        """A session at `edge`."""
        return await self._front_at(edge)

    async def _front_at(self, edge, key=""):
        return await Front.open(self.fleet.net, self.fleet.out, edge, self.host, 800_000, key)

    async def _prepare(self, n, end):
        shape = f"{'put' if self.mix[1] and self.rng.random() < 0.5 else 'get'} q{self.rng.randrange(3)}"
        await self._request(
            ClientStatement(self._num(), "prepare", "prepare", name=n, prepared_text=shape), end
        )
        self._prepared[n] = shape

    async def _set(self, end):
        k, v = self.rng.choice(("lang", "zone")), self.rng.choice("abc")
        await self._request(ClientStatement(self._num(), "set", "set", name=k, data=v), end)
        self._values[k] = v

    async def _request(self, a, end):
        r = await self._clock.limit(self._front.ask(a), max(10_000, end - self._clock.now()))
        if not r.ok:
            raise Fault(r.code)

    def _close(self):
        if self._front is not None:
            self._front.close()
        self._front, self._state = None, "I"
        self._values, self._prepared = {}, {}
