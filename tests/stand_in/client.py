import asyncio
import random

from .attempt import Attempt
from .operation import Operation
from .refusal import Refusal
from .session import Session
from .statement import Statement

__all__ = ["Client"]

NAMES = ("s1", "s2")
SHAPES = ("q1", "q2", "q3")


class Client:
    """One client: a session that lasts, operations one after the other, retries as a whole with new ids.

    `pick(further)` gives the address for its next connection; `key` is what it shows there instead of its name, and may
    be changed: the next session shows the new one, and one that is DENIED is ended. Things, values and prepared names
    clash between clients.
    """

    def __init__(
        self,
        name,
        route,
        pick,
        history,
        *,
        seed=0,
        rate=4.0,
        tries=2,
        pause_ms=30,
        things=20,
        lasting=True,
        key=None,
    ):
        self.name, self.route, self._pick, self._history = name, route, pick, history
        self._random = random.Random(f"{seed}/{name}")
        self._rate, self._tries, self._pause_ms, self._things = rate, tries, pause_ms, things
        self._lasting = lasting
        self.key = self._shown = key
        self._session = None
        self._sessions, self._further = 0, 0
        self._values, self._prepared = {}, {}
        self.operations = []

    async def run(self, seconds):
        """Does operations for `seconds`, then ends its session."""
        until = self._history.now() + seconds
        try:
            while self._history.now() < until:
                await asyncio.sleep(self._random.expovariate(self._rate))
                await self.operate()
                if not self._lasting:
                    self._close()
        finally:
            self._close()

    async def operate(self):
        """One operation with its further tries."""
        operation = Operation(self._history.now(), self.route)
        self.operations.append(operation)
        deadline = operation.started + self.route.deadline_ms / 1000
        plan = self._plan()
        rested = 0.0
        while operation.tries <= self._tries and self._history.now() < deadline:
            attempt = Attempt(
                f"{self.name}/{self._sessions}",
                self.route.database,
                self.route.route_type,
                self.route.max_staleness_ms,
                len(plan) > 1,
            )
            self._history.attempts.append(attempt)
            operation.tries += 1
            began = self._history.now()
            rests = await self._attempt(attempt, plan, deadline)
            rested = rests if attempt.outcome == "ok" else 0.0
            operation.last, operation.key = attempt.outcome, self._shown
            if not attempt.again:
                break
            self._further += 1
            if self._history.now() - began < 0.05:
                await asyncio.sleep(0.1 * operation.tries)
        operation.ended = self._history.now() - rested
        operation.served, operation.left = operation.last == "ok", operation.last == "left"
        return operation

    def _plan(self):
        r = self._random
        if r.random() >= self.route.transactions:
            return [self._text(r.random() < self.route.writes)]
        texts = [
            self._text(self.route.writes > 0 and r.random() < max(0.3, self.route.writes))
            for _ in range(r.randint(1, 4))
        ]
        only = not any(kind == "PUT" for kind, _, _ in texts)
        end = r.choices(("COMMIT", "ROLLBACK", "LEAVE"), (18, 2, 1))[0]
        return [
            ("BEGIN", only and r.random() < 0.5 or self.route.route_type != "primary", None),
            *texts,
            (end, None, None),
        ]

    def _text(self, writes):
        thing = f"{self._random.randrange(self._things):x}"
        data = "".join(self._random.choices("abcdefghijklmnop", k=8)) if writes else None
        return ("PUT" if writes else "FETCH", thing, data)

    def _spell(self, kind, thing, data):
        if kind == "BEGIN":
            return ("BEGIN FETCH" if thing else "BEGIN"), None
        if kind in ("COMMIT", "ROLLBACK"):
            return kind, None
        words = thing if data is None else f"{thing} {data}"
        names = [n for n, (k, _) in self._prepared.items() if k == kind]
        if names and self._random.random() < 0.5:
            return f"EXECUTE {names[0]} {words}", self._prepared[names[0]][1]
        return f"{kind} {words}", None

    async def _attempt(self, attempt, plan, deadline):
        rested = 0.0
        try:
            await self._open(attempt, deadline)
            attempt.key = self._shown
            attempt.session = f"{self.name}/{self._sessions}"
            for i, (kind, thing, data) in enumerate(plan):
                if i:
                    rest = self._random.expovariate(1000 / self._pause_ms)
                    rested += rest
                    await asyncio.sleep(rest)
                if kind == "LEAVE":
                    attempt.outcome = "left"
                    self._close()
                    return rested
                text, shape = self._spell(kind, thing, data)
                code = await self._ask(attempt, text, deadline, shape, kind == "PUT")
                if code:
                    attempt.outcome = code
                    if self._session.state in ("T", "E"):
                        await self._ask(attempt, "ROLLBACK", deadline)
                    break
            else:
                attempt.outcome = "ok"
        except TimeoutError:
            attempt.outcome = attempt.outcome or "silent"
            self._close()
        except Refusal as r:
            attempt.outcome = r.code
            self._close()
        except OSError:
            attempt.outcome = attempt.outcome or "cut"
            self._close()
        if self._session and (self._session.state != "I" or attempt.outcome == "DENIED"):
            self._close()
        return rested

    async def _ask(self, attempt, text, deadline, shape=None, writes=False):
        s = Statement(
            f"{self._random.getrandbits(64):016x}",
            text,
            self._history.now(),
            shape,
            writes,
            dict(self._values),
        )
        attempt.statements.append(s)
        try:
            answer = await self._session.ask(s.id, text, max(0.01, deadline - s.sent))
            s.outcome, s.stamp, s.rows = answer.code or "ok", answer.stamp, answer.rows
        except TimeoutError:
            s.outcome = "silent"
            raise
        except OSError:
            s.outcome = "cut"
            raise
        finally:
            s.ended = self._history.now()
        return answer.code

    async def _open(self, attempt, deadline):
        r = self._random
        if self._session and not (self._session.closed or self._session.stray):
            if r.random() < 0.05 and self._prepared:
                await self._drop_name(deadline)
            return
        self._close()
        self._sessions += 1
        self._shown = self.key
        self._session = await Session.open(
            self._pick(self._further), self.route.database, self._shown or self.name
        )
        for name in ("lang", "zone"):
            if r.random() < 0.7:
                value = r.choice("abc")
                await self._set_up(f"SET {name} {value}", deadline)
                self._values[name] = value
        for name in NAMES:
            if r.random() < 0.7:
                await self._prepare(name, deadline)

    async def _drop_name(self, deadline):
        name = self._random.choice(list(self._prepared))
        await self._set_up(f"DEALLOC {name}", deadline)
        del self._prepared[name]
        await self._prepare(name, deadline)

    async def _prepare(self, name, deadline):
        kind = "PUT" if self._random.random() < 0.5 and self.route.writes else "FETCH"
        shape = self._random.choice(SHAPES)
        await self._set_up(f"PREPARE {name} {kind} {shape}", deadline)
        self._prepared[name] = kind, shape

    async def _set_up(self, text, deadline):
        id = f"{self._random.getrandbits(64):016x}"
        answer = await self._session.ask(id, text, max(0.01, deadline - self._history.now()))
        if answer.code:
            raise Refusal(answer.code, answer.text)

    def _close(self):
        if self._session:
            for line in self._session.stray:
                if not line.startswith("ERROR"):
                    self._history.stray.append((f"{self.name}/{self._sessions}", line))
            self._session.close(polite=self._session.state == "I")
            self._session = None
        self._values, self._prepared = {}, {}
