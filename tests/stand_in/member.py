import asyncio
import contextlib
import secrets
import socket

from .beats import Heartbeats
from .member_session import MemberSession
from .refusal import Refusal
from .run import Run
from .wire import MESSAGE_BYTES, Wire

__all__ = ["Member"]

UNHEARD_POLL_S = 0.02


class Member:
    """A database member at its own address, with switches for its faults.

    `dark` says nothing, connects to it hang, and the connections of that time are reset when it is back without running
    what they hold. `deaf` receives nothing. `refuse` answers BUSY. `failing` counts statements that will run and fail,
    `losing` counts successes that will not be told; `lost_how` is `silent` or `cut`. `net_ms` is how long commits are
    on their way to it, None for the group's own. `unheard` tells of a caller's address whether it gets no answers now.
    """

    def __init__(self, group, id, address, zone, nodes=(), beat_ms=1200, revision="v1"):
        self.group, self.history, self.id, self.address, self.zone = (
            group,
            group.history,
            id,
            address,
            zone,
        )
        self.state, self.revision = "ready", revision
        self.log, self.data, self.held = [], {}, 0
        self.running, self.dark, self.deaf, self.refuse = False, False, False, False
        self.failing, self.losing, self.lost_how = 0, 0, "silent"
        self.net_ms = None
        self.unheard = None
        self.lit = asyncio.Event()
        self.lit.set()
        self.connections = 0
        self._seen, self._applied = [], 0
        self._busy_until = 0.0
        self._slots, self._waiting, self._busy = asyncio.Semaphore(group.slots), 0, 0
        self._numbers = 0
        self._server, self._shut = None, []
        self._sessions, self._tasks = {}, []
        self._beats = Heartbeats(self, nodes, beat_ms)

    @property
    def leads(self):
        """Whether it sees itself as the primary."""
        return self.group.leader is self

    @property
    def role(self):
        """`primary` or `replica`."""
        return "primary" if self.leads else "replica"

    async def start(self):
        """Starts, or comes back with its log after a crash."""
        host, port = self.address.rsplit(":", 1)
        self.held = 0
        await self._listen(host=host, port=int(port))
        self.running = True
        self.follow()
        self._tasks = [asyncio.ensure_future(x) for x in (self.group.feed(self), self._beats.run())]
        self.group.changed.fire()
        return self

    async def crash(self):
        """Ends without a word: connections are reset and the port refuses."""
        await self._stop()
        self.history.trouble(f"{self.id} crashed", machines=False)

    def go_dark(self):
        """Says nothing more, and resets nothing."""
        self.dark = True
        self.lit.clear()
        listener = self._server.sockets[0].dup()
        self._server.close()
        listener.listen(0)
        self._shut = [listener, *(socket.socket() for _ in range(2))]
        for filler in self._shut[1:]:
            filler.setblocking(False)
            filler.connect_ex(listener.getsockname())
        self.history.trouble(f"{self.id} went dark", machines=False)

    async def go_light(self):
        """Is back."""
        await self._open_again()
        self._drop()
        self.lit.set()
        self.follow()
        self.group.changed.fire()
        self.tell()

    async def release(self, drain_ms=7000):
        """A planned end: says `draining`, serves on for `drain_ms` after the acknowledgement, signs off and ends."""
        self.state = "draining"
        with contextlib.suppress(TimeoutError):
            await asyncio.wait_for(self._beats.acknowledged("draining"), 5)
            self.history.drained[self.id] = self.history.now()
        await asyncio.sleep(drain_ms / 1000 + 0.3)
        await self._beats.deregister()
        await self._stop()

    async def sign_off(self, serve_ms=7000):
        """A planned end without `draining`: signs off, serves on for `serve_ms` and ends."""
        self._tasks[-1].cancel()
        if await self._beats.deregister():
            self.history.drained[self.id] = self.history.now()
        await asyncio.sleep(serve_ms / 1000)
        if self.running:
            await self._stop()

    def beat_first_after(self, seconds):
        """Has its first beat arrive `seconds` after its start; call it before that."""
        self._beats.first_after_s = seconds

    async def cut_from(self, unheard, seconds):
        """Answers no caller whose address `unheard` tells so, and has no beat acknowledged, for `seconds`."""
        self.unheard = unheard
        self._beats.cut = True
        for wire in list(self._sessions.values()):
            if unheard(wire.peer):
                wire.reset()
        self.history.trouble(f"{self.id} cut off", seconds, machines=False)
        await asyncio.sleep(seconds)
        self.unheard, self._beats.cut = None, False

    async def say_late(self, seconds, copies=1):
        """Sends a beat of now that arrives `seconds` later, `copies` times."""
        await self._beats.send_late(seconds, copies)

    async def close(self):
        """Ends at once, without counting as trouble."""
        if self.running:
            await self._stop()

    def tell(self):
        """Has its role and state told to the system at once."""
        self._beats.soon()

    def take_log(self, other):
        """Takes over the log of a member that has ended."""
        self.log, self.data = list(other.log), dict(other.data)
        self._seen, self._applied = list(other._seen), other._applied

    def receive(self, entries):
        """Adds commits to its log; a replica applies them later."""
        self.log += entries
        self._seen += [self.history.now()] * len(entries)
        self._apply()

    def follow(self):
        """Cuts its log back to what it shares with the leader, and is busy for a moment if that was less."""
        leader = self.group.leader
        self._apply()
        if leader is None or leader is self:
            return
        n = min(len(self.log), len(leader.log))
        while n and self.log[n - 1] is not leader.log[n - 1]:
            n -= 1
        if n == len(self.log):
            return
        del self.log[n:], self._seen[n:]
        if self._applied > n:
            self._applied, self.data = 0, {}
        self._apply()
        self._busy_until = self.history.now() + 0.2

    def _apply(self):
        due = self.history.now() - self.group.lag_ms / 1000
        while self._applied < len(self.log) and (self.leads or self._seen[self._applied] <= due):
            self.data.update((thing, data) for _, thing, data in self.log[self._applied].writes)
            self._applied += 1

    def _last(self):
        self._apply()
        return self.log[self._applied - 1] if self._applied else None

    def value(self, thing):
        """What it has applied for `thing`, or None."""
        self._apply()
        return self.data.get(thing)

    def applied_position(self):
        """The term and number of what it has applied."""
        last = self._last()
        return (last.term, last.number) if last else (1, 0)

    def position(self):
        """The applied position as READY tells it."""
        return "%d.%d" % self.applied_position()

    def status(self):
        """The row of STATUS."""
        self._apply()
        received = f"{self.log[-1].term}.{len(self.log)}" if self.log else "1.0"
        lag = 0
        if self._applied < len(self.log):
            lag = int((self.history.now() - self._seen[self._applied]) * 1000)
        return f"{self.role} {self.group.term} {received} {self.held} {lag} {self._busy} {self.connections}"

    async def admit(self, service, id):
        """Lets a connection in; raises Refusal."""
        if service != self.group.service or id != self.id:
            raise Refusal("WRONGNODE", self.id)
        if self.connections > self.group.conn_limit:
            raise Refusal("CONNLIMIT", self.id)
        async with self.slot(self.group.connect_ms):
            pass

    @contextlib.asynccontextmanager
    async def slot(self, ms):
        """Holds one of its slots for `ms` before the body runs; raises Refusal when it is too busy."""
        if (
            self.refuse
            or self.history.now() < self._busy_until
            or self._waiting >= self.group.queue
        ):
            raise Refusal("BUSY", self.id)
        self._waiting += 1
        try:
            await self._slots.acquire()
        finally:
            self._waiting -= 1
        self._busy += 1
        try:
            if ms:
                await asyncio.sleep(ms / 1000)
            yield
        finally:
            self._busy -= 1
            self._slots.release()

    @property
    def loses_next(self):
        """Whether its next success will not be told."""
        return self.losing > 0 or self.dark

    def lose_answer(self):
        """Tells whether this success is to be lost, and counts it."""
        if self.losing <= 0:
            return False
        self.losing -= 1
        self.history.trouble(f"{self.id} lost an answer", machines=False)
        return True

    def note(self, session, id, text, kind, shape, rows, transaction=None):
        """Records what was run, and stamps it."""
        log = self._last()
        stamp = (
            f"{self.group.term:x}.{len(self.log):x}.{session.number:x}.{len(self.history.runs):x}"
        )
        run = Run(
            self.history.now(),
            session.arrived,
            self.group.service,
            self.id,
            self.zone,
            session.number,
            session.transaction or transaction,
            id,
            text,
            kind,
            log,
            shape,
            dict(session.values),
            f"{stamp}.{secrets.token_hex(8)}",
            rows,
            session.who,
        )
        self.history.runs.append(run)
        return run

    async def _listen(self, **where):
        self._server = await asyncio.start_server(self._accept, limit=MESSAGE_BYTES, **where)

    async def _open_again(self):
        for s in self._shut[1:]:
            s.close()
        await self._listen(sock=self._shut[0])
        self._shut, self.dark = [], False

    async def _stop(self):
        if self.dark:
            await self._open_again()
            self.lit.set()
        self.running = False
        for task in self._tasks:
            task.cancel()
        self._server.close()
        self._drop()
        self.group.changed.fire()
        await self._beats.close()

    def _drop(self):
        for task, wire in list(self._sessions.items()):
            wire.reset()
            task.cancel()

    async def _accept(self, reader, writer):
        wire = Wire(reader, writer)
        task = asyncio.current_task()
        self._sessions[task] = wire
        self.connections += 1
        try:
            await self.lit.wait()
            line = await wire.read()
            await self.lit.wait()
            await self._wait_while_unheard(wire)
            if line and line.endswith(("HTTP/1.1", "HTTP/1.0")):
                await self._answer_http(wire, line)
            elif line:
                self._numbers += 1
                await MemberSession(self, wire, self._numbers).serve(line)
        except asyncio.CancelledError:
            pass
        finally:
            self.connections -= 1
            del self._sessions[task]
            wire.close()

    async def _wait_while_unheard(self, wire):
        """Keeps a caller waiting that it is cut off from, and resets its connection at the end of the cut."""
        unheard = self.unheard
        if unheard is None or not unheard(wire.peer):
            return
        while self.unheard is unheard:
            await asyncio.sleep(UNHEARD_POLL_S)
        wire.reset()
        raise asyncio.CancelledError

    async def _answer_http(self, wire, line):
        while await wire.read():
            pass
        status = "404 Not Found"
        if line.split(" ")[:2] == ["GET", "/health"]:
            well = self.state == "ready" and not self.failing
            status = "200 OK" if well else "503 Service Unavailable"
        wire.send_bytes(
            f"HTTP/1.1 {status}\r\nX-Member-Id: {self.id}\r\nContent-Length: 0\r\n"
            "Connection: close\r\n\r\n".encode()
        )
