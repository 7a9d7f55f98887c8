"""Tests embargoes with connection sessions in virtual time.

No client may read a record before its release, and every proxy must serve it soon afterwards.
"""

import asyncio
import random

import pytest
from embargo_world import virtual

from petrelhaven.proxy.session.statement import Statement
from petrelhaven.runtime.errors import Fault

SECOND_US = 1_000_000


async def place_record(world, record_key="opening", release_after_s=8):
    """Embargoes a record, writes it once the rule is in force, and returns its release time."""
    until = world.true_time() + release_after_s * SECOND_US
    await world.embargo("add", record_key, until)
    await world.write(record_key)
    return until


def test_every_proxy_withholds_a_record_until_its_release_and_serves_it_afterwards():
    async def scene(world):
        until = await place_record(world)
        readers = world.start_readers(["opening"])
        await asyncio.sleep((until - world.true_time()) / SECOND_US + 3)
        await world.stop_readers(readers)
        assert world.early_reads == [] and world.withheld_reads > 100
        delays = world.release_delays("opening", until)
        assert set(delays) == set(world.proxies) and max(delays.values()) < 0.7, delays

    virtual(scene)


async def read_through_release(world, until, record_keys=("opening",), after_s=3.0, per_record=2):
    """Runs readers at all proxies until `after_s` past the release; returns the early reads."""
    readers = world.start_readers(record_keys, per_record)
    await asyncio.sleep((until - world.true_time()) / SECOND_US + after_s)
    await world.stop_readers(readers)
    return world.early_reads


async def no_faults(world):
    """A record is embargoed and released without any fault."""
    return await read_through_release(world, await place_record(world, release_after_s=5))


async def proxy_cut_from_control_nodes(world):
    """A proxy loses the control nodes, then a rule is added and its record written.

    The proxy can still read from members.
    """
    readers = world.start_readers(["opening"])
    await asyncio.sleep(1)
    world.net.cut(["e1"], list(world.control_nodes), 6 * SECOND_US)
    until = await place_record(world, release_after_s=10)
    await asyncio.sleep((until - world.true_time()) / SECOND_US + 3)
    await world.stop_readers(readers)
    assert "e1" in world.release_delays("opening", until)
    return world.early_reads


async def replica_lag(world):
    """A replica lags by five seconds while a record is embargoed and released."""
    world.members["m2"].replication_interval_s = 5
    until = await place_record(world, release_after_s=6)
    return await read_through_release(world, until, after_s=7)


async def failover_before_release(world):
    """The primary fails shortly before the release; its replacement serves the record afterwards."""
    until = await place_record(world, release_after_s=5)
    world.loop.call_later(4.2, world.net.machines["m1"].kill)
    early_reads = await read_through_release(world, until, after_s=8)
    assert set(world.release_delays("opening", until)) == set(world.proxies)
    return early_reads


async def clock_step(world, us=5 * SECOND_US):
    """The wall clock of one control node steps well before the release."""
    until = await place_record(world, release_after_s=8)
    world.loop.call_later(2, setattr, world.wall_clocks["c1"], "error_us", us)
    early_reads = await read_through_release(world, until)
    delays = world.release_delays("opening", until)
    assert set(delays) == set(world.proxies) and max(delays.values()) < 1, delays
    return early_reads


async def clocks_ahead(world):
    """The wall clocks of all control nodes are ahead by nearly the maximum error."""
    for wall_clock in world.wall_clocks.values():
        wall_clock.error_us = 99_000
    return await read_through_release(world, await place_record(world, release_after_s=5))


async def read_in_flight(world):
    """A read runs at a slow member while the rule is added and the record is written."""
    for member in world.members.values():
        world.net.machines[member.machine.name].clock.rate = 0.01
    until = world.true_time() + 9 * SECOND_US
    read = asyncio.ensure_future(world.read("e1", "opening", "old"))
    await asyncio.sleep(0.02)
    await world.embargo("add", "opening", until)
    for member in world.members.values():
        member.log.append((1, "opening", "secret"))
    reply = await read
    assert world.true_time() < until and reply is not None
    return world.early_reads


async def prepared_before_rule(world):
    """A statement is prepared and a transaction begun before the rule is added; both read later."""
    node = world.proxies["e1"].node
    plain_session, transaction_session = node.open("db", "u"), node.open("db", "u")
    for session in (plain_session, transaction_session):
        await node.serve_statement(
            session,
            Statement("1", "prepare", "PREPARE q FETCH s1", name="q", prepared_text="FETCH s1"),
        )
    await node.serve_statement(transaction_session, Statement("2", "begin", "BEGIN", writes=True))
    assert (
        await node.serve_statement(transaction_session, Statement("3", "read", "FETCH opening"))
    ).ok
    until = await place_record(world, release_after_s=6)
    for session in (plain_session, transaction_session):
        for statement in (
            Statement(
                "4",
                "execute",
                "EXECUTE q opening",
                name="q",
                data="opening",
                prepared_text="FETCH s1",
            ),
            Statement("5", "read", "FETCH opening"),
        ):
            world.check_reply("e1", "opening", await node.serve_statement(session, statement))
    reply = await node.serve_statement(
        transaction_session, Statement("6", "write", "PUT other 1", writes=True)
    )
    assert reply.ok and reply.state == "T"
    assert (await node.serve_statement(transaction_session, Statement("7", "commit", "COMMIT"))).ok
    assert world.true_time() < until
    return world.early_reads


async def release_moved_later(world):
    """A proxy is cut off while the release is moved later.

    Its agreed time is still usable at the old release time.
    """
    configuration = world.configuration(
        bounds={"keepers": 0, "idle_txn_us": 30 * SECOND_US, "wall_us": 2 * SECOND_US}
    )
    await world.call(lambda node: node.apply(configuration, by="op"))
    until = await place_record(world, release_after_s=6)
    readers = world.start_readers(["opening"])
    await asyncio.sleep((until - world.true_time()) / SECOND_US - 2.5)
    world.net.cut(["e2"], list(world.control_nodes), 6 * SECOND_US)
    later = until + 6 * SECOND_US
    await world.embargo("move", "opening", later)
    await asyncio.sleep((later - world.true_time()) / SECOND_US + 3)
    await world.stop_readers(readers)
    assert set(world.release_delays("opening", later)) == set(world.proxies)
    return world.early_reads


SCENES = (
    no_faults,
    proxy_cut_from_control_nodes,
    replica_lag,
    failover_before_release,
    clock_step,
    clocks_ahead,
    read_in_flight,
    prepared_before_rule,
    release_moved_later,
)


@pytest.mark.parametrize("seed", [1, 2, 3])
@pytest.mark.parametrize("scene", SCENES)
def test_no_client_reads_a_record_before_its_release(scene, seed):
    assert virtual(scene, seed) == []


def test_one_wall_clock_stepping_back_changes_nothing():
    assert virtual(lambda world: clock_step(world, -5 * SECOND_US)) == []


# Each of the following functions disables one guard.


def no_lease_required(monkeypatch):
    from petrelhaven.proxy import embargo

    original = embargo.EmbargoFilter.apply_records

    def apply_records(self, control_state, records, fresh):
        original(self, control_state, records, fresh)
        self.embargoed_groups = frozenset()

    monkeypatch.setattr(embargo.EmbargoFilter, "apply_records", apply_records)


def no_check_of_replies(monkeypatch):
    from petrelhaven.proxy import embargo

    monkeypatch.setattr(
        embargo.EmbargoFilter, "check_reply", lambda self, session, statement, group, reply: reply
    )


def no_wait_for_proxies(monkeypatch):
    from petrelhaven.control import leases as lease_table

    async def wait_in_force(self, seq, grace_us=0, timeout_us=0):
        return 0

    monkeypatch.setattr(lease_table.LeaseTable, "wait_in_force", wait_in_force)


def own_clock(monkeypatch):
    from petrelhaven.control.embargo import agreed_time
    from petrelhaven.runtime.wall_clock import TimeInterval

    def interval(self):
        now_us = self.wall_clock.now()
        return TimeInterval(now_us - self._bounds().skew_us, now_us + self._bounds().skew_us)

    monkeypatch.setattr(agreed_time.AgreedTime, "interval", interval)


def highest_time(monkeypatch):
    from petrelhaven.proxy import embargo

    def earliest_us(self):
        interval = self.interval()
        return interval[1] if interval else 0

    monkeypatch.setattr(embargo.TrueTimeEstimate, "earliest_us", earliest_us)


def middle_time(monkeypatch):
    from petrelhaven.proxy import embargo

    def earliest_us(self):
        interval = self.interval()
        return sum(interval) // 2 if interval else 0

    monkeypatch.setattr(embargo.TrueTimeEstimate, "earliest_us", earliest_us)


def prepared_statements_not_checked(monkeypatch):
    monkeypatch.setattr(
        Statement, "record_keys", property(lambda self: {self.text.partition(" ")[2]})
    )


def transactions_not_checked(monkeypatch):
    from petrelhaven.proxy import embargo

    original = embargo.EmbargoFilter.refuse_if_withheld
    monkeypatch.setattr(
        embargo.EmbargoFilter,
        "refuse_if_withheld",
        lambda self, session, statement, group: (
            None if session.transaction is not None else original(self, session, statement, group)
        ),
    )


def rule_changes_not_applied(monkeypatch):
    from petrelhaven.proxy import embargo

    original = embargo.EmbargoFilter.apply_records
    monkeypatch.setattr(
        embargo.EmbargoFilter,
        "apply_records",
        lambda self, control_state, records, fresh: original(self, control_state, [], fresh),
    )


@pytest.mark.parametrize(
    ("disable_guard", "scene"),
    [
        (no_lease_required, proxy_cut_from_control_nodes),
        (no_lease_required, release_moved_later),
        (no_check_of_replies, read_in_flight),
        (no_wait_for_proxies, proxy_cut_from_control_nodes),
        (own_clock, clock_step),
        (highest_time, clocks_ahead),
        (middle_time, clocks_ahead),
        (prepared_statements_not_checked, prepared_before_rule),
        (transactions_not_checked, prepared_before_rule),
        (rule_changes_not_applied, no_faults),
    ],
)
def test_without_its_guard_a_record_is_read_too_early(monkeypatch, disable_guard, scene):
    disable_guard(monkeypatch)
    assert any(virtual(scene, seed) for seed in (1, 2, 3))


def test_a_record_moved_earlier_or_lifted_is_served_at_that_time():
    async def scene(world):
        until = await place_record(world, "a", 60)
        await place_record(world, "b", 60)
        readers = world.start_readers(["a", "b"], 1)
        await asyncio.sleep(1)
        earlier = world.true_time() + 3 * SECOND_US
        await world.embargo("move", "a", earlier)
        await world.embargo("lift", "b")
        lifted = world.true_time()
        await asyncio.sleep(6)
        await world.stop_readers(readers)
        assert world.early_reads == [] and world.true_time() < until
        assert (
            set(world.release_delays("a", earlier))
            == set(world.release_delays("b", lifted))
            == set(world.proxies)
        )

    virtual(scene)


def test_only_an_exempt_client_reads_a_record_early():
    async def scene(world):
        await world.embargo("add", "opening", world.true_time() + 60 * SECOND_US, early=["early"])
        await world.write("opening")
        for proxy in world.proxies:
            assert (await world.read(proxy, "opening", client="early")).rows == ["secret"]
            assert (await world.read(proxy, "opening", client="earl")).code == "withheld"
        assert world.early_reads == []

    virtual(scene)


def test_a_prefix_rule_withholds_existing_and_missing_records_with_the_same_reply():
    async def scene(world):
        await world.embargo(
            "add", "opening-1", world.true_time() + 60 * SECOND_US, prefix="opening-"
        )
        await world.write("opening-1")
        await world.write("opening")
        log_lengths = [len(member.log) for member in world.members.values()]
        for how in ("single", "prepared", "writes", "reads"):
            existing, missing = (
                await world.read("e1", "opening-1", how=how),
                await world.read("e1", "opening-2", how=how),
            )
            assert existing.code == missing.code == "withheld" and existing.state == missing.state
            assert existing.text.split(" ")[:4] == missing.text.split(" ")[:4]
        assert (await world.read("e1", "opening")).rows == ["secret"] and log_lengths == [
            len(member.log) for member in world.members.values()
        ]

    virtual(scene)


def test_a_refused_read_is_not_sent_to_a_member():
    async def scene(world):
        await world.embargo("add", "opening", world.true_time() + 60 * SECOND_US)
        statements = []
        for member in world.members.values():
            original = member.run
            member.run = lambda *args, original=original: (
                statements.append(args[1]),
                original(*args),
            )[1]
        for how in ("single", "prepared"):
            assert (await world.read("e1", "opening", how=how)).code == "withheld"
        assert statements == []
        assert (await world.read("e1", "other")).ok and statements == ["FETCH other"]

    virtual(scene)


def test_retry_times_are_spread_over_the_time_after_the_release():
    async def scene(world):
        until = world.true_time() + 20 * SECOND_US
        await world.embargo("add", "opening", until)
        retry_times = []
        for _ in range(400):
            reply = await world.read("e1", "opening")
            retry_times.append(world.true_time() + int(reply.text.split(" ")[-2]) * 1000 - until)
        assert min(retry_times) > -10_000 and max(retry_times) < 2_600_000
        assert (
            max(
                sum(retry_us // 250_000 == interval for retry_us in retry_times)
                for interval in range(12)
            )
            < 100
        )

    virtual(scene)


def test_without_a_majority_of_clocks_no_further_record_is_released():
    async def scene(world):
        first, until = await place_record(world, "a", 3), await place_record(world, "b", 8)
        await asyncio.sleep((first - world.true_time()) / SECOND_US + 1)
        assert (await world.read("e1", "a")).rows == ["secret"]
        world.wall_clocks["c1"].error_us, world.wall_clocks["c2"].error_us = (
            -20 * SECOND_US,
            20 * SECOND_US,
        )
        await asyncio.sleep((until - world.true_time()) / SECOND_US + 3)
        for proxy in world.proxies:
            assert (await world.read(proxy, "b")).code == "withheld"
            assert (await world.read(proxy, "a")).rows == ["secret"]
        assert any("E332" in event[2] for event in world.net.log)
        world.wall_clocks["c1"].error_us = world.wall_clocks["c2"].error_us = 0
        await asyncio.sleep(3)
        for proxy in world.proxies:
            assert (await world.read(proxy, "b")).rows == ["secret"]
        assert world.early_reads == []

    virtual(scene)


def test_most_clocks_stepping_together_release_nothing_for_a_minute():
    async def scene(world):
        until = await place_record(world, "a", 40)
        await asyncio.sleep(3)
        for wall_clock in world.wall_clocks.values():
            wall_clock.error_us += 3600 * SECOND_US
        readers = world.start_readers(["a"], 1)
        await asyncio.sleep((until - world.true_time()) / SECOND_US)
        await world.stop_readers(readers)
        assert world.early_reads == [] and any("E334" in event[2] for event in world.net.log)

    virtual(scene)


def test_a_control_node_with_a_wrong_wall_clock_is_logged():
    async def scene(world):
        await asyncio.sleep(2)
        world.wall_clocks["c2"].error_us = 5 * SECOND_US
        await asyncio.sleep(3)
        events = [event for event in world.net.log if "E331" in event[2]]
        assert {event[1] for event in events} == {"c2"} and len(events) == 1
        listing = await world.call(lambda node: node.embargoes.list())
        assert listing["time"]["interval"] and abs(listing["time"]["off_us"]["c2"]) > 4 * SECOND_US

    virtual(scene)


def test_rules_survive_a_restart_of_all_control_nodes_and_of_a_proxy():
    async def scene(world):
        until = await place_record(world, "a", 25)
        readers = world.start_readers(["a"], 1)
        for name in [*world.control_nodes]:
            world.control_nodes[name].kill()
        await asyncio.sleep(1)
        world.proxies["e1"].kill()
        world.start_proxy("e1")
        for name in world.control_nodes:
            world.start_control_node(name)
        await world.wait_until(lambda: world.proxies["e1"].node.ready, 20)
        listing = await world.call(lambda node: node.embargoes.list())
        assert [rule["name"] for rule in listing["rules"]] == ["x-a"] and listing["scope"] == ["g"]
        await asyncio.sleep((until - world.true_time()) / SECOND_US + 3)
        await world.stop_readers(readers)
        assert world.early_reads == [] and set(world.release_delays("a", until)) == set(
            world.proxies
        )

    virtual(scene)


def test_a_proxy_unaware_of_embargoes_blocks_new_rules_until_it_is_back_or_declared_gone():
    async def scene(world):
        world.net.cut(["e3"], list(world.control_nodes), 12 * SECOND_US)
        await asyncio.sleep(1)
        configuration = world.configuration(embargoing=["g"])
        with pytest.raises(AssertionError):
            await world.call(lambda node: node.apply(configuration, by="op"), 1)
        for machine in world.control_nodes.values():
            with pytest.raises(Fault) as raised:
                await machine.node.embargoes.change(
                    {
                        "do": "add",
                        "name": "n",
                        "group": "g",
                        "thing": "a",
                        "until": "2199-01-01T00:00:00Z",
                    }
                )
            assert raised.value.code == "not-ready" and raised.value.details["edges"] == ["e3"]
        assert (await world.read("e3", "a")).ok
        answer = await world.control_nodes["c2"].node.embargoes.change(
            {
                "do": "add",
                "name": "n",
                "group": "g",
                "thing": "a",
                "until": "2199-01-01T00:00:00Z",
                "gone": ["e3"],
            }
        )
        assert answer["do"] == "add"
        await asyncio.sleep(14)
        answer = await world.call(
            lambda node: node.embargoes.change(
                {
                    "do": "add",
                    "name": "m",
                    "group": "g",
                    "thing": "b",
                    "until": "2199-01-01T00:00:00Z",
                }
            )
        )
        assert answer["do"] == "add" and (await world.read("e3", "a")).code == "withheld"

    virtual(scene, embargoing=[])


def test_explain_and_list_report_which_rule_withholds_a_record():
    async def scene(world):
        await world.embargo("add", "opening", world.true_time() + 60 * SECOND_US, early=["ed"])
        query = {"group": "g", "thing": "opening"}
        explanation = await world.call(lambda node: node.embargoes.explain(query))
        assert (
            explanation["withheld"]
            and explanation["by"] == "x-opening"
            and explanation["embargoed_group"]
            and len(explanation["rules"]) == 1
        )
        assert not (
            await world.call(lambda node: node.embargoes.explain({**query, "visitor": "ed"}))
        )["withheld"]
        assert not (await world.call(lambda node: node.embargoes.explain({**query, "thing": "x"})))[
            "withheld"
        ]
        listing = await world.call(lambda node: node.embargoes.list())
        assert listing["past"][0]["by"] == "op" and any(
            "E330" in event[2] and "by=op" in event[2] for event in world.net.log
        )
        await world.read("e1", "opening")
        assert any("E430" in event[2] and "client=u" in event[2] for event in world.net.log)
        assert world.proxies["e1"].node.status()["embargo"]["count"]["embargo"] == 1

    virtual(scene)


async def randomized_faults(world, seed):
    """Changes rules during cuts, crashes, freezes and steps of one clock, then repairs all faults."""
    rng = random.Random(seed)
    started = world.true_time()
    releases, operators = {}, []

    async def operate(number):
        record_key = f"r{number}"
        await asyncio.sleep(rng.uniform(0, 6))
        releases[record_key] = world.true_time() + rng.randrange(4 * SECOND_US, 14 * SECOND_US)
        await world.embargo("add", record_key, releases[record_key])
        await world.write(record_key)
        for _ in range(rng.randrange(3)):
            await asyncio.sleep(rng.uniform(0, 3))
            until = max(
                world.true_time() + SECOND_US,
                releases[record_key] + rng.randrange(-4 * SECOND_US, 5 * SECOND_US),
            )
            await world.embargo("move", record_key, until)
            releases[record_key] = until

    async def inject_faults():
        wrong_clock = world.wall_clocks[rng.choice(sorted(world.control_nodes))]
        while world.true_time() < started + 16 * SECOND_US:
            await asyncio.sleep(rng.uniform(0.1, 1.5))
            kind = rng.randrange(7)
            if kind == 0:
                wrong_clock.error_us = rng.choice(
                    (
                        -5 * SECOND_US,
                        5 * SECOND_US,
                        0,
                        rng.randrange(-5 * SECOND_US, 5 * SECOND_US),
                    )
                )
            elif kind == 1:
                world.net.cut(
                    [rng.choice(sorted(world.proxies))],
                    rng.sample(sorted(world.control_nodes), rng.randint(1, 3)),
                    rng.randrange(SECOND_US // 5, 4 * SECOND_US),
                    rng.random() < 0.6,
                )
            elif kind == 2:
                name = rng.choice(sorted(world.control_nodes))
                if all(machine.up for machine in world.control_nodes.values()):
                    world.control_nodes[name].kill(rng.random() < 0.3)
                    world.loop.call_later(rng.uniform(0.5, 3), world.start_control_node, name)
            elif kind == 3:
                name = rng.choice(sorted(world.proxies))
                world.proxies[name].kill()
                world.start_proxy(name)
            elif kind == 4:
                world.proxies[rng.choice(sorted(world.proxies))].freeze(
                    rng.randrange(SECOND_US // 5, 3 * SECOND_US)
                )
            elif kind == 5:
                world.control_nodes[rng.choice(sorted(world.control_nodes))].freeze(
                    rng.randrange(SECOND_US // 5, 2 * SECOND_US)
                )
            else:
                world.members[rng.choice(("m2", "m3"))].replication_interval_s = rng.choice(
                    (0.01, 0.5, 3)
                )

    readers = world.start_readers([f"r{number}" for number in range(3)], 1)
    operators = [asyncio.ensure_future(operate(number)) for number in range(3)]
    await inject_faults()
    await asyncio.gather(*operators)
    await asyncio.sleep(max(0, (max(releases.values()) - world.true_time()) / SECOND_US) + 12)
    await world.stop_readers(readers)
    missing = {
        record_key: set(world.proxies) - set(world.release_delays(record_key, releases[record_key]))
        for record_key in releases
    }
    assert not any(missing.values()), missing
    return world.early_reads


@pytest.mark.parametrize("seed", range(24))
def test_randomized_faults(seed):
    assert virtual(lambda world: randomized_faults(world, seed), seed) == []


def test_disabling_embargoes_removes_the_filter_from_all_proxies():
    async def scene(world):
        await world.embargo("add", "opening", world.true_time() + 60 * SECOND_US)
        with pytest.raises(Fault) as raised:
            await world.call(lambda node: node.apply(world.configuration(embargoing=[]), by="op"))
        assert raised.value.code == "invalid" and "lift" in str(raised.value.details)
        await world.embargo("lift", "opening")
        configuration = world.configuration(embargoing=[])
        await world.call(lambda node: node.apply(configuration, by="op"))
        await world.wait_until(
            lambda: all(
                machine.node.embargo is None and machine.node.core_connection.true_time is None
                for machine in world.proxies.values()
            ),
            5,
        )
        world.net.cut(["e1"], list(world.control_nodes), 5 * SECOND_US)
        await asyncio.sleep(2)
        assert (await world.read("e1", "opening")).ok and "embargo" not in world.proxies[
            "e1"
        ].node.status()

    virtual(scene)
