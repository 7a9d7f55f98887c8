"""Random schedules of calls over delayed connections.

No answer may reach another caller, and no call may run twice or after its caller abandoned it. Each guard of the
channel is then disabled in turn, and the same schedules must find the violation.
"""

import asyncio
import itertools

import pytest
from hypothesis import HealthCheck, Phase, given, settings
from hypothesis import strategies as st
from wire_model import WAY_S, Node, virtual

from petrelhaven.runtime.errors import Fault, Malformed
from petrelhaven.transport import channel as channel_module
from petrelhaven.transport.channel import Channel
from petrelhaven.transport.contracts import Repeat, repeat_of
from petrelhaven.transport.messages import CALL, RESULT, pack, unpack

DRAWN = settings(
    max_examples=1200,
    phases=[Phase.generate],
    deadline=None,
    derandomize=True,
    database=None,
    suppress_health_check=list(HealthCheck),
)
# Two kinds whose answers have the same fields, and one that is sent once.
ASKS = {
    "creed.belief": lambda token: {"who": token},
    "chain.read": lambda token: {"what": token},
    "span.deliver": lambda token: {"sid": token, "ask": None},
}
ANSWERS = {"creed.belief": "doc", "chain.read": "doc", "span.deliver": "res"}
KINDS = sorted(ASKS)
WAY_US = int(WAY_S * 1e6) + 1_000
ACTIONS = ["call"] * 8 + ["tick"] * 6 + ["cancel"] * 3 + ["reconnect", "again"] * 2
ACTIONS += ["cut", "cut back", "heal", "heal", "reset", "other kind", "call again"]
STEPS = st.lists(
    st.tuples(
        st.sampled_from(ACTIONS), st.integers(0, 9), st.sampled_from([2_000, 15_000, 60_000])
    ),
    min_size=4,
    max_size=40,
)


def token_of(kind, body):
    return body[{"creed.belief": "who", "chain.read": "what", "span.deliver": "sid"}[kind]]


class Play:
    """A calling node, an answering node, and what was observed."""

    def __init__(self, net):
        self.net = net
        self.a, self.b = Node(net, "a"), Node(net, "b")
        self.tokens = itertools.count()
        self.calls, self.ran, self.given_up, self.arrived, self.bad = [], [], {}, {}, []
        self.delays = itertools.cycle([0.0, 0.012, 0.03])
        for kind in KINDS:
            self.b.on(kind, self._handler(kind))

    def _handler(self, kind):
        async def answer(channel, body):
            token = token_of(kind, body)
            self.ran.append(token)
            if repeat_of(kind, body) is Repeat.NEVER and token in self.given_up:
                # bytes that are in transit at that moment can't be discarded
                if self.given_up[token] + WAY_US < self.arrived[token]:
                    self.bad.append(("ran after it was given up", token))
            await asyncio.sleep(next(self.delays))
            return {ANSWERS[kind]: token}

        return answer

    async def connect(self):
        self.channel = await self.a.open("b")
        way = self.net.connections[-1].ways["a"]
        bring = way.bring

        def record_arrival(raw):
            if raw is not None:
                message = unpack(raw)
                if message.flow == CALL:
                    self.arrived.setdefault(
                        token_of(message.kind, message.body), self.a.clock.now()
                    )
            bring(raw)

        way.bring = record_arrival

    async def call(self, kind, timeout_us):
        token = f"{kind} {next(self.tokens)}"
        try:
            answer = await self.channel.call(kind, ASKS[kind](token), timeout_us)
            if answer[ANSWERS[kind]] != token:
                self.bad.append(("answer of another", token, answer))
        except (Fault, asyncio.CancelledError):
            self.given_up[token] = self.a.clock.now()

    async def step(self, action, choice, timeout_us):
        connections = self.net.connections
        if action == "call":
            if self.channel.gone.done() and not self.net.cuts:
                await self.connect()
            self.calls.append(asyncio.ensure_future(self.call(KINDS[choice % 3], timeout_us)))
        elif action == "cancel" and self.calls:
            self.calls[choice % len(self.calls)].cancel()
        elif action == "tick":
            await asyncio.sleep(0.004 * (1 + choice))
        elif action == "reset":
            connections[-1].break_off()
        elif action in ("cut", "cut back"):
            self.net.cut(*("ab" if action == "cut" else "ba"))
        elif action == "heal":
            self.net.heal("a", "b")
            self.net.heal("b", "a")
        elif action == "reconnect" and not self.net.cuts:
            await self.connect()
        elif action == "again":
            way = connections[choice % len(connections)].ways["b"]
            if way.seen:
                way.bring(way.seen[choice % len(way.seen)])
        elif action == "call again":
            way = connections[choice % len(connections)].ways["a"]
            if way.seen:
                way.bring(way.seen[choice % len(way.seen)])
        elif action == "other kind":
            number = max(1, self.channel._last_sent_number - choice % 3)
            pending = self.channel._pending.get(number)
            asked = (
                pending.kind if pending is not None else self.channel._abandoned_kinds.get(number)
            )
            kind = KINDS[0] if asked == KINDS[1] else KINDS[1]
            connections[-1].ways["b"].bring(pack(kind, RESULT, number, {"doc": "of no caller"}))
        await asyncio.sleep(0)

    async def end(self):
        for way in (("a", "b"), ("b", "a")):
            self.net.heal(*way)
        await asyncio.sleep(1)
        await asyncio.gather(*self.calls)
        single_runs = [token for token in self.ran if token.startswith("span.deliver")]
        if len(set(single_runs)) < len(single_runs):
            self.bad.append(("ran twice", sorted(single_runs)))
        for connection in self.net.connections:
            assert not any(end._pending for end in connection.ends.values())
        return self.bad


def played(steps):
    async def go(net):
        play = Play(net)
        await play.connect()
        for step in steps:
            await play.step(*step)
        return await play.end()

    return virtual(go)


@DRAWN
@given(STEPS)
def test_no_answer_reaches_another_caller_and_nothing_given_up_runs_later(steps):
    assert played(steps) == []


def matched_by_number_alone(mp):
    """Uses one table of pending calls for all connections of a node."""
    real = Channel.__init__

    def init(self, link, *a):
        real(self, link, *a)
        self._pending = link.__dict__.setdefault("one_table", {})

    mp.setattr(Channel, "__init__", init)


def kind_not_checked(mp):
    real = Channel._receive_answer

    def take(self, message):
        pending = self._pending.get(message.number)
        if pending is not None and pending.kind != message.kind:
            self._pending[message.number] = channel_module._Pending(message.kind, pending.answer)
        real(self, message)

    mp.setattr(Channel, "_receive_answer", take)


def call_numbers_reused(mp):
    """Gives a call the lowest number that no pending call has."""

    class LowestFreeNumber:
        def __init__(self, channel):
            self.channel = channel

        def __next__(self):
            return next(n for n in itertools.count(1) if n not in self.channel._pending)

    real, feed = Channel.__init__, Channel.feed

    def init(self, *a):
        real(self, *a)
        self._call_numbers = LowestFreeNumber(self)

    def any_number(self, raw):
        self._last_received_number = 0
        feed(self, raw)

    mp.setattr(Channel, "__init__", init)
    mp.setattr(Channel, "feed", any_number)


def repeated_calls_accepted(mp):
    real = Channel.feed

    def feed(self, raw):
        self._last_received_number = 0
        real(self, raw)

    mp.setattr(Channel, "feed", feed)


def abandoned_calls_not_withdrawn(mp):
    mp.setattr(Channel, "_withdraw_call", lambda self, number: None)


GUARDS = {
    matched_by_number_alone: "answer of another",
    kind_not_checked: "answer of another",
    call_numbers_reused: "answer of another",
    repeated_calls_accepted: "ran twice",
    abandoned_calls_not_withdrawn: "ran after it was given up",
}


@pytest.mark.parametrize("guard,what", GUARDS.items())
def test_without_its_guard_the_same_draws_find_the_violation(guard, what):
    class Found(Exception):
        pass

    @DRAWN
    @given(STEPS)
    def drawn(steps):
        try:
            bad = played(steps)
        except (AssertionError, KeyError):
            return
        if any(b[0] == what for b in bad):
            raise Found

    with pytest.MonkeyPatch.context() as mp:
        guard(mp)
        with pytest.raises(Found):
            drawn()


def test_an_answer_of_another_kind_under_a_number_ends_the_connection():
    async def go(net):
        play = Play(net)
        await play.connect()
        call = asyncio.ensure_future(play.channel.call("creed.belief", {"who": "x"}, 1_000_000))
        await asyncio.sleep(0)
        with pytest.raises(Malformed):
            play.channel.feed(pack("chain.read", RESULT, 1, {"doc": "y"}))
        net.connections[-1].ways["b"].bring(pack("chain.read", RESULT, 1, {"doc": "y"}))
        with pytest.raises(Fault):
            await call
        assert play.channel.gone.done()

    virtual(go)


def test_abandoning_a_call_that_was_received_does_not_fail_other_calls():
    """An answer to a later call shows that the earlier call arrived, so the connection needs no reset."""

    async def go(net):
        play = Play(net)
        await play.connect()

        async def slow(channel, body):
            await asyncio.sleep(5)

        play.b.on("span.deliver", slow)
        late = asyncio.ensure_future(
            play.channel.call("span.deliver", ASKS["span.deliver"]("s"), 50_000)
        )
        await asyncio.sleep(0.005)
        assert await play.channel.call("creed.belief", {"who": "x"}, 100_000) == {"doc": "x"}
        with pytest.raises(Fault):
            await late
        assert not play.channel.gone.done()

    virtual(go)


def test_an_answer_of_another_kind_to_a_call_that_was_given_up_ends_the_connection_too():
    """The answer was taken as a sign that earlier calls had arrived, so an abandoned call was not withdrawn."""
    steps = [("call", 2, 60_000), ("call", 1, 2_000), ("cut", 0, 0), ("tick", 9, 0)]
    assert played([*steps, ("other kind", 0, 0), ("tick", 9, 0), ("heal", 0, 0)]) == []


def test_an_answer_to_a_call_that_was_never_sent_ends_the_connection():
    async def go(net):
        play = Play(net)
        await play.connect()
        for number in (0, 1):
            with pytest.raises(Malformed):
                play.channel.feed(pack("chain.read", RESULT, number, {"doc": "y"}))

    virtual(go)
