"""The judge of a history: planted violations are seen, and what the rules allow is none."""

import math

import pytest
from stand_in.attempt import Attempt
from stand_in.config_order import ConfigOrder
from stand_in.configuration_reader import ConfigurationRead
from stand_in.entry import Entry
from stand_in.evacuation import Evacuation
from stand_in.freeze import Freeze
from stand_in.history import History
from stand_in.judge import judge
from stand_in.route_probe import RouteProbe
from stand_in.run import Run
from stand_in.statement import Statement
from stand_in.trouble import Trouble
from stand_in_members import KEYS, keyed


class HandMadeHistory:
    """A history by hand: one good write, one good transaction and one good read, for planting in."""

    def __init__(self):
        self.h = History()
        config = {"Revision": 3, "Routes": [{"Hostname": "db", "Service": "svc"}]}
        self.h.configs.append(ConfigOrder(config, 0, True, 1))
        self.h.fetched = self.h.configs[0].config
        self.write = self.single(10.0, "w1", "PUT a x")
        self.transaction = self.attempt(transaction=True)
        self.ask(self.transaction, 20.0, "t0", "BEGIN")
        self.ask(self.transaction, 20.1, "t1", "FETCH a", transaction=1, rows=("x",))
        self.ask(self.transaction, 20.2, "t2", "PUT b y", transaction=1, commits=False)
        self.ask(self.transaction, 20.3, "t3", "COMMIT", transaction=1, commits="t2")
        self.read = self.single(
            30.0, "r1", "EXECUTE s a", shape="q", values={"k": "v"}, rows=("x",)
        )

    def attempt(self, session="u/1", outcome="ok", **kw):
        a = Attempt(session, "db", outcome=outcome, **kw)
        self.h.attempts.append(a)
        return a

    def single(self, at, id, text, **kw):
        a = self.attempt()
        self.ask(a, at, id, text, **kw)
        return a

    def entry(self, *ids, acked_at=None):
        before = self.h.entries[-1] if self.h.entries else None
        e = Entry(
            "svc",
            1,
            len(self.h.entries) + 1,
            tuple((i, "a", "x") for i in ids),
            before,
            acked_at=acked_at,
        )
        self.h.entries.append(e)
        return e

    def ask(
        self,
        a,
        at,
        id,
        text,
        transaction=None,
        rows=(),
        shape=None,
        values=None,
        commits=True,
        **kw,
    ):
        kind = {"EXECUTE": "FETCH"}.get(text.split()[0], text.split()[0])
        writes = kind == "PUT"
        stamp = "-" if kind == "BEGIN" else f"stamp-{id}"
        a.statements.append(
            Statement(id, text, at, shape, writes, values or {}, at + 0.05, "ok", stamp, rows)
        )
        if (writes or kind == "COMMIT") and commits:
            self.entry(id if commits is True else commits, acked_at=at + 0.04)
        if kind != "BEGIN":
            kw.update(rows=rows, shape=shape, values=values or {}, stamp=stamp)
            self.run(at + 0.02, id, text, kind, transaction, **kw)

    def run(self, at, id, text, kind, transaction=None, connection=7, member="m", **kw):
        self.h.runs.append(
            Run(
                at,
                at,
                "svc",
                member,
                "hall-0",
                connection,
                transaction,
                id,
                text,
                kind,
                kw.pop("log", self.h.entries[-1] if self.h.entries else None),
                **kw,
            )
        )
        return self.h.runs[-1]

    def of(self, id):
        return next(r for r in self.h.runs if r.id == id)


def refused(s):
    s.write.statements[0].outcome = "BUSY"


def cut_back(s):
    s.h.entries[1].cut_at = 40.0


def cut_back_as(outcome, attempt="write"):
    def plant(s):
        getattr(s, attempt).statements[-1].outcome = outcome
        s.h.entries[attempt == "transaction"].cut_at = 40.0

    return plant


def stale(s):
    s.of("r1").log = s.h.entries[0]


def stale_in_transaction(s):
    s.entry("w1x", acked_at=19.0)
    s.of("t1").log = s.h.entries[0]


def stale_by_fork(s):
    fork = Entry("svc", 1, 9, (), s.h.entries[0], cut_at=25.0)
    s.of("r1").log = fork


def stale_bounded(s):
    s.read.route_type, s.read.max_staleness_ms = "bounded_staleness", 1500
    stale(s)


def late(s, zone="hall-0"):
    s.single(60.0, "r2", "FETCH a")


def drain(s):
    s.h.drained["m"] = 50.0
    late(s)


def evacuated(s):
    s.h.evacuations.append(Evacuation("hall-0", 50.0))
    late(s)


def cut_off(s):
    s.read.statements[0].outcome = s.read.outcome = "cut"


def put(what, name, value):
    def plant(s):
        setattr(s.of(what) if isinstance(what, str) else what(s), name, value)

    return plant


def probe(s, database, code, sent=50.0, proxy="edge"):
    s.h.probes.append(RouteProbe(sent, sent + 0.1, proxy, database, code))


PLANTED = {
    "no stamp": ("MIXED", lambda s: setattr(s.read.statements[0], "stamp", "-")),
    "other rows": ("MIXED", lambda s: setattr(s.read.statements[0], "rows", ("y",))),
    "stamp of another": (
        "MIXED",
        lambda s: setattr(s.transaction.statements[3], "stamp", "stamp-t2"),
    ),
    "other connection": ("PINNED", put("t2", "connection", 8)),
    "other transaction": ("PINNED", put("t2", "transaction", 2)),
    "outside its transaction": ("PINNED", put("t2", "transaction", None)),
    "inside another's": ("PINNED", put("r1", "transaction", 1)),
    "two in one": (
        "PINNED",
        lambda s: (
            setattr(a := s.attempt(), "transaction", True),
            s.ask(a, 22.0, "v0", "BEGIN"),
            s.ask(a, 22.1, "v1", "FETCH a", transaction=1),
        ),
    ),
    "other values": ("PINNED", put("r1", "values", {"k": "w"})),
    "values of another": ("PINNED", put("w1", "values", {"k": "w"})),
    "other shape": ("PINNED", put("r1", "shape", "p")),
    "name unknown": ("PINNED", lambda s: setattr(s.read.statements[0], "outcome", "NOSTMT")),
    "never sent": ("UNASKED", lambda s: s.run(50, "zz", "PUT a x", "PUT")),
    "own write": ("UNASKED", lambda s: s.run(50, "-", "PUT a x", "PUT")),
    "own commit of a write": ("UNASKED", put("t3", "id", "-")),
    "text changed": ("UNASKED", put("w1", "text", "PUT a y")),
    "commit not asked": ("UNASKED", lambda s: s.transaction.statements.pop()),
    "twice": ("TWICE", lambda s: s.entry("w1")),
    "promise broken": ("REFUSED", refused),
    "promise for a transaction broken": (
        "REFUSED",
        put(lambda s: s.transaction.statements[3], "outcome", "READONLY"),
    ),
    "missed commit": ("STALE", stale),
    "missed commit in a transaction": ("STALE", stale_in_transaction),
    "missed commit on a fork": ("STALE", stale_by_fork),
    "missed commit, too old": ("STALE", stale_bounded),
    "promote without it": ("LOST", cut_back),
    "promote without a single write": ("LOST", cut_back_as("ok")),
    "promote without a transaction": ("LOST", cut_back_as("ok", "transaction")),
    "cut off": ("LOST", cut_off),
    "drained": ("DRAIN", drain),
    "evacuated": ("EVAC", evacuated),
    "other service": ("ROUTE", put("r1", "service", "other")),
    "unasked message": ("STRAY", lambda s: s.h.stray.append(("u/1", "ROW x"))),
    "configuration went back": ("CONFIG", lambda s: setattr(s.h, "fetched", {"Revision": 2})),
    "configuration differs": ("CONFIG", lambda s: setattr(s.h, "fetched", {"Revision": 3})),
    "added route refused": ("CONFIG", lambda s: probe(s, "db", "NODB")),
    "removed route accepted": ("CONFIG", lambda s: probe(s, "other", "READY")),
    "older configuration read": (
        "CONFIG",
        lambda s: s.h.reads.append(ConfigurationRead(50.0, "core", 2)),
    ),
    "invalid one taken": ("CONFIG", lambda s: setattr(s.h.configs[0], "valid", False)),
}


@pytest.mark.parametrize("name", PLANTED)
def test_a_planted_violation_is_seen(name):
    rule, plant = PLANTED[name]
    s = HandMadeHistory()
    assert judge(s.h) == []
    plant(s)
    assert rule in {v.rule for v in judge(s.h)}


@pytest.mark.parametrize(
    ("names", "at", "counts"),
    [
        (None, 46.0, False),
        (("edge",), 46.0, False),
        (("other",), 46.0, True),
        ((), 46.0, True),
        (None, 44.0, True),
    ],
)
def test_a_probe_counts_if_its_proxy_was_in_touch(names, at, counts):
    s = HandMadeHistory()
    s.h.troubles.append(Trouble(at, at, "kill", names=names))
    probe(s, "db", "NODB")
    assert ("CONFIG" in {v.rule for v in judge(s.h, contact_ms=5000)}) == counts


@pytest.mark.parametrize(
    ("machine", "until", "counts"),
    [("edge", math.inf, False), ("edge", 46.0, False), ("edge", 44.0, True), ("other", 46.0, True)],
)
def test_a_probe_of_a_proxy_that_stands_still_does_not_count(machine, until, counts):
    """Guards against CONFIG for a request that arrived in a freeze of more than `ContactMs` (seed 40 of the soak)."""
    s = HandMadeHistory()
    s.h.freezes.append(Freeze(machine, 30.0, until))
    probe(s, "db", "NODB")
    assert ("CONFIG" in {v.rule for v in judge(s.h, contact_ms=5000)}) == counts


def test_a_probe_may_meet_any_version_that_may_be_in_force():
    s = HandMadeHistory()
    newer = {"Revision": 4, "Routes": [{"Hostname": "db2", "Service": "svc"}]}
    s.h.configs.append(ConfigOrder(newer, 49.9, True, 49.95))
    for database, code in (("db", "NODB"), ("db", "READY"), ("db2", "NODB"), ("db2", "READY")):
        probe(s, database, code)
    probe(s, "db", "silent")
    probe(s, "db", "BUSY")
    assert [v for v in judge(s.h) if "answered" in v.what] == []


def test_a_read_may_answer_an_older_configuration_until_apply_ms_after_the_acknowledgement():
    s = HandMadeHistory()
    newer = {"Revision": 4, "Routes": [{"Hostname": "db", "Service": "svc"}]}
    s.h.configs.append(ConfigOrder(newer, 45.0, True, 47.5))
    s.h.fetched = newer
    s.h.reads += [ConfigurationRead(50.4, "core", 3), ConfigurationRead(60.0, "core", 4)]
    assert judge(s.h, apply_ms=3000) == []


def cut_in_trouble(s):
    cut_off(s)
    s.h.troubles.append(Trouble(28.0, 28.0, "crash", machines=False))


def drain_in_trouble(s):
    drain(s)
    s.h.troubles.append(Trouble(58.0, 58.0, "kill"))


def taken_back(s):
    evacuated(s)
    s.h.evacuations[0].finished_at = 59.0


def young(s):
    stale_bounded(s)
    s.read.max_staleness_ms = 15000


ALLOWED = {
    "a cut beside a crash": cut_in_trouble,
    "a drain out of touch": drain_in_trouble,
    "a zone taken back": taken_back,
    "a young commit missed on a bounded route": young,
    "a read run twice": lambda s: s.run(
        30.1, "r1", "EXECUTE other a", "FETCH", shape="q", values={"k": "v"}
    ),
    "an own commit of reads": lambda s: s.run(31, "-", "COMMIT", "COMMIT", 5),
    "a commit cut back whose client was told that it is in doubt": cut_back_as("INDOUBT"),
    "a transaction cut back whose client is told of doubt": cut_back_as("INDOUBT", "transaction"),
    "a commit cut back before it was told": lambda s: setattr(s.entry("w9"), "cut_at", 33.0),
}


@pytest.mark.parametrize("name", ALLOWED)
def test_what_the_rules_allow_is_not_a_violation(name):
    s = HandMadeHistory()
    ALLOWED[name](s)
    assert judge(s.h) == []


def story_of_tenants(**config):
    """A story whose operations ran under the name of the tenant of their clients' key."""
    s = HandMadeHistory()
    s.h.configs[0] = keyed(3, 0.0, 1.0, **config)
    s.h.fetched = s.h.configs[0].config
    s.write.key, s.transaction.key, s.read.key = "k3yOne", "k3yTwo", "k3yOne"
    for run in s.h.runs:
        run.who = "two" if run.id in ("t1", "t2", "t3") else "one"
    return s


def put_all(s, name, value):
    for run in s.h.runs:
        setattr(run, name, value)


def moved(s, ran_at, who):
    """The key of the write and of the read goes to another tenant: sent at 40, acknowledged at 41."""
    s.h.configs.append(keyed(4, 40.0, 41.0, {"k3yOne": "three", "k3yTwo": "two"}))
    s.h.fetched = s.h.configs[-1].config
    later = s.single(ran_at, "m1", "FETCH a")
    later.key = "k3yOne"
    s.of("m1").who = who


def taken_away(s, ran_at, who):
    s.h.configs.append(keyed(4, 40.0, 41.0, {"k3yTwo": "two"}))
    s.h.fetched = s.h.configs[-1].config
    later = s.single(ran_at, "m1", "FETCH a")
    later.key = "k3yOne"
    s.of("m1").who = who


def added_later(s):
    s.h.configs.append(keyed(4, 40.0, 41.0, {**KEYS, "k3yNew": "one"}))
    s.h.fetched = s.h.configs[-1].config
    s.read.key = "k3yNew"


PLANTED_FOR_TENANTS = {
    "one word for all": ("UNASKED", lambda s: put_all(s, "who", "petrelhaven")),
    "another tenant's name": ("UNASKED", put("r1", "who", "two")),
    "another's in one statement of a transaction": ("UNASKED", put("t2", "who", "one")),
    "another's at the commit": ("UNASKED", put("t3", "who", "one")),
    "no name": ("UNASKED", put("w1", "who", "")),
    "the key itself": ("UNASKED", put("w1", "who", "k3yOne")),
    "another's key": ("UNASKED", put("w1", "who", "k3yTwo")),
    "the new holder's before the key was given to it": (
        "UNASKED",
        lambda s: moved(s, 39.0, "three"),
    ),
    "the earlier holder's long after": ("UNASKED", lambda s: moved(s, 50.0, "one")),
    "another's for a key taken away": ("UNASKED", lambda s: taken_away(s, 50.0, "two")),
    "a key never held": ("ROUTE", lambda s: setattr(s.read, "key", "n3verHeld")),
    "the key of a refused configuration": (
        "ROUTE",
        lambda s: (
            s.h.configs.append(keyed(4, 5.0, None, {"n3verHeld": "one"})),
            setattr(s.h.configs[-1], "valid", False),
            setattr(s.read, "key", "n3verHeld"),
        ),
    ),
    "a key before it was added": ("ROUTE", added_later),
    "no key": ("ROUTE", lambda s: setattr(s.read, "key", None)),
}


@pytest.mark.parametrize("name", PLANTED_FOR_TENANTS)
def test_a_planted_violation_with_tenants_is_seen(name):
    rule, plant = PLANTED_FOR_TENANTS[name]
    s = story_of_tenants()
    assert judge(s.h) == []
    plant(s)
    assert {v.rule for v in judge(s.h)} == {rule}


def test_a_tenants_name_for_a_client_of_a_public_route_without_a_key_is_seen():
    s = story_of_tenants(Public=True)
    s.read.key = None
    s.of("r1").who = "petrelhaven"
    assert judge(s.h) == []
    s.of("r1").who = "one"
    assert {v.rule for v in judge(s.h)} == {"UNASKED"}


ALLOWED_FOR_TENANTS = {
    "the new holder's from the sending on": lambda s: moved(s, 40.1, "three"),
    "the earlier holder's until it is in force": lambda s: moved(s, 43.9, "one"),
    "a key taken away, which is not this rule's matter": lambda s: taken_away(s, 50.0, "one"),
    "a second key of the tenant": lambda s: (
        s.h.configs.insert(0, keyed(2, 0.0, 0.5, {**KEYS, "k3yOld": "one"})),
        setattr(s.read, "key", "k3yOld"),
    ),
    "no section Tenants": lambda s: (
        s.h.configs[0].config.pop("Tenants"),
        put_all(s, "who", "petrelhaven"),
    ),
}


@pytest.mark.parametrize("name", ALLOWED_FOR_TENANTS)
def test_what_the_rules_allow_with_tenants_is_not_a_violation(name):
    s = story_of_tenants()
    ALLOWED_FOR_TENANTS[name](s)
    assert judge(s.h) == []
