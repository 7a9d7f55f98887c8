"""A proxy that is stopped answers the statements that it has taken."""

import asyncio

import pytest
from stand_in.refusal import Refusal
from stand_in.route import Route
from stand_in.scene import Scene
from stand_in.session import Session

pytestmark = pytest.mark.xdist_group("estate")

BOUNDS = {"GraceS": 4, "DrainMs": 1000}
TIMEOUT_MS = 9000
LONG_DRAIN_MS = 20000
ANSWERED = ("ABORTED", "BUSY")
RETRY_TEXT = "come back in"
NEW_SERVICE, NEW_DATABASE = "svc9", "new9"
SETTLE_S = 0.5
SLOW_WORK_MS = 8000


def test_a_statement_that_waits_for_a_primary_is_answered_before_its_proxy_ends(built, tmp_path):
    """Guards against a connection that ends without an answer to a statement that was sent to no member (LOST)."""

    async def go():
        scene = Scene(built, tmp_path / "run", bounds=BOUNDS, services=1)
        scene.routes[:] = [Route("pri0", "svc0", timeout_ms=TIMEOUT_MS)]
        async with scene:
            replicas = [m for m in scene.groups["svc0"].members.values() if not m.leads]
            await asyncio.gather(*(member.sign_off(serve_ms=100) for member in replicas))
            leaving = asyncio.ensure_future(scene.primary().release(drain_ms=LONG_DRAIN_MS))
            await asyncio.sleep(2)
            name, _zone, front, _ready = scene.fleet.fronts()[0]
            session = await Session.open(front, "pri0", "u1")
            asked = asyncio.ensure_future(session.ask("00000000000000a1", "PUT 1 a"))
            await asyncio.sleep(0.5)
            stopped = asyncio.ensure_future(scene.fleet.terminate(name))
            try:
                answer = await asked
            finally:
                leaving.cancel()
            await stopped
            return answer.code

    assert asyncio.run(go()) in ANSWERED


class Dialogue:
    """A client's statements on one connection, one after the other; `last` is the answer to the last one, or "cut"."""

    def __init__(self, number, front, database, texts):
        self._number, self._front, self._database, self._texts = number, front, database, texts
        self.last = None

    async def run(self):
        try:
            session = await Session.open(self._front, self._database, f"u{self._number}")
            for step, text in enumerate(self._texts):
                self.last = await session.ask(f"{self._number:08x}{step:08x}", text)
            session.close(polite=True)
        except (ConnectionError, Refusal) as error:
            self.last = error


WAITING = {
    "write": ["PUT 1 a"],
    "read": ["FETCH 1"],
    "begin, write": ["BEGIN", "PUT 1 a"],
    "begin, read": ["BEGIN FETCH", "FETCH 1"],
    "execute a write": ["PREPARE s1 PUT q1", "EXECUTE s1 1 a"],
    "execute a read": ["PREPARE s1 FETCH q1", "EXECUTE s1 1"],
}


async def stop_proxy_amid(scene, database, dialogues, prepare=None):
    """Runs dialogues by a proxy, which gets SIGTERM while their last statements are under way.

    Returns the answer to each last statement and the proxy's exit codes.
    """
    name, _zone, front, _ready = scene.fleet.fronts()[0]
    running = {
        kind: Dialogue(number, front, database, texts)
        for number, (kind, texts) in enumerate(dialogues.items(), 1)
    }
    tasks = [asyncio.ensure_future(dialogue.run()) for dialogue in running.values()]
    await asyncio.sleep(SETTLE_S)
    codes = await scene.fleet.terminate(name)
    await asyncio.wait(tasks)
    return {kind: dialogue.last for kind, dialogue in running.items()}, codes


def answers_of(last):
    return {kind: getattr(answer, "code", repr(answer)) for kind, answer in last.items()}


async def add_database_without_members(scene):
    route = Route(NEW_DATABASE, NEW_SERVICE, timeout_ms=TIMEOUT_MS)
    document = scene.config()
    document["Routes"].append(route.row())
    document["Services"].append({**document["Services"][0], "Name": NEW_SERVICE})
    assert (await scene.operator.replace(document)).acked_at is not None
    return NEW_DATABASE


async def keep_members_busy(scene):
    for member in scene.groups["svc0"].members.values():
        member.refuse = True
    return "pri0"


async def crash_all_members(scene):
    await asyncio.gather(*(member.crash() for member in scene.groups["svc0"].members.values()))
    return "pri0"


@pytest.mark.parametrize(
    "block", [add_database_without_members, keep_members_busy, crash_all_members]
)
def test_statements_of_every_kind_that_wait_are_answered_as_not_run(built, tmp_path, block):
    """Guards against statements that are cut though no member has them: no primary, BUSY, no connection (review/7)."""

    async def go():
        scene = Scene(built, tmp_path / "run", bounds=BOUNDS, services=1)
        scene.routes[:] = [Route("pri0", "svc0", timeout_ms=TIMEOUT_MS)]
        async with scene:
            database = await block(scene)
            return await stop_proxy_amid(scene, database, WAITING)

    last, codes = asyncio.run(go())
    assert codes == [0]
    assert {kind: code for kind, code in answers_of(last).items() if code not in ANSWERED} == {}
    assert [answer.text for answer in last.values() if RETRY_TEXT not in answer.text] == []


def test_statements_queued_behind_one_that_waits_are_answered(built, tmp_path):
    """Guards against queued statements that are cut when the one before them is answered at last."""

    async def go():
        scene = Scene(built, tmp_path / "run", bounds=BOUNDS, services=1)
        async with scene:
            database = await add_database_without_members(scene)
            name, _zone, front, _ready = scene.fleet.fronts()[0]
            host, port = front.rsplit(":", 1)
            reader, writer = await asyncio.open_connection(host, int(port))
            writer.write(f"CONNECT {database} u1\r\n".encode())
            await reader.readuntil(b"\r\n")
            writer.writelines(f"QUERY {n:016x} PUT 1 a\r\n".encode() for n in range(3))
            await asyncio.sleep(SETTLE_S)
            codes = await scene.fleet.terminate(name)
            answered = await reader.read()
            writer.close()
            return codes, answered.decode().splitlines()

    codes, lines = asyncio.run(go())
    assert codes == [0]
    assert [line.split(" ")[:2] for line in lines] == 3 * [["ERROR", "BUSY"], ["READY", "I"]]


AT_A_MEMBER = {
    "write": (["PUT 1 a"], "INDOUBT"),
    "read": (["FETCH 1"], "TIMEOUT"),
    "read in a transaction": (["BEGIN FETCH", "FETCH 1"], "ABORTED"),
    "write in a transaction": (["BEGIN", "PUT 1 a"], "ABORTED"),
}


def test_statements_that_a_member_works_on_are_answered_with_what_is_known(built, tmp_path):
    """Guards against a cut where the outcome is unknown: that has a word of its own."""

    async def go():
        scene = Scene(built, tmp_path / "run", bounds=BOUNDS, services=1)
        target_ms = 2 * TIMEOUT_MS
        scene.routes[:] = [Route("pri0", "svc0", timeout_ms=TIMEOUT_MS, target_ms=target_ms)]
        async with scene:
            scene.groups["svc0"].work_ms = SLOW_WORK_MS
            texts = {kind: texts for kind, (texts, _) in AT_A_MEMBER.items()}
            return await stop_proxy_amid(scene, "pri0", texts)

    last, codes = asyncio.run(go())
    assert codes == [0]
    assert answers_of(last) == {kind: code for kind, (_, code) in AT_A_MEMBER.items()}
