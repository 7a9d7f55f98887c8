"""A replica that restarts while the platform promotes another one is no longer paused, and commits count."""
# ruff: noqa: ANN001, ANN002, ANN201, ANN202, ANN204, ANN205, D107, E402, E501, PLR2004, RET504 (as in tests/)

import asyncio
import os
import sys
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "common2"))

from estate import ROOT, Member, Session, is_troubled, play_case, scene
from stand_in.route import Route

PROMOTE_MS, LAG_MS, WORK_MS, SLOTS, CONN_LIMIT = 1000, 8, 4.5, 5, 68
"""As SYSTEM has them for AANP."""
DOWN_S, CUT_S = 0.3, 5.0
"""How long the replica is down; how long the primary is cut off from the control nodes."""
CLIENTS, REST_S, BEFORE_S, AFTER_S = 30, 0.5, 3.0, 6.0
TIMEOUT_MS = 2000


class CutMember(Member):
    """A member that can be cut off from the control nodes, and from these alone."""

    cut = False
    cores = staticmethod(list)

    async def _accept(self, reader, writer):
        if self.cut and owned_by(writer.get_extra_info("peername"), self.cores()):
            while self.cut:
                await asyncio.sleep(0.02)
            writer.transport.abort()
            return
        await super()._accept(reader, writer)


class CutCaller:
    """The beats of a member; they get no answer while it is cut off."""

    def __init__(self, member, caller):
        self._member, self._caller = member, caller

    async def call(self, *call):
        """Calls as `Caller` does, or hears nothing for a second."""
        if self._member.cut:
            await asyncio.sleep(self._caller.seconds)
            return 0, b""
        return await self._caller.call(*call)

    async def close(self):
        """Closes nothing."""


def owned_by(address, pids):
    """Whether the socket at `address`, an IP and a port of this machine, belongs to one of `pids`."""
    ip, port = address[:2]
    wanted = "".join(f"{int(x):02X}" for x in reversed(ip.split("."))) + f":{port:04X}"
    for line in Path("/proc/net/tcp").read_text().splitlines()[1:]:
        fields = line.split()
        if fields[1] == wanted:
            inode = f"socket:[{fields[9]}]"
            return any(inode in links(pid) for pid in pids)
    return False


def links(pid):
    """What the descriptors of a process stand for."""
    found = set()
    try:
        for entry in os.scandir(f"/proc/{pid}/fd"):
            try:
                found.add(os.readlink(entry.path))
            except OSError:
                continue
    except OSError:
        pass
    return found


async def transact(estate, number, told, stop):
    """One client: transactions of two writes with rests, as PROTOCOL's clients have them."""
    loop, count = asyncio.get_running_loop(), 0
    fronts = [front for _, _, front, _ in estate.fleet.fronts()]
    await asyncio.sleep(number * 3 * REST_S / CLIENTS)
    while not stop.is_set():
        id = f"{number:04x}{count:010x}"
        count += 1
        session = None
        try:
            session = await Session.open(fronts[number % len(fronts)], "pri0", f"u{number}")
            code = ""
            for step, text in enumerate(
                ("BEGIN", f"PUT {number:x} a{id}", f"PUT {number:x} b{id}", "COMMIT")
            ):
                answer = await session.ask(f"{id}{step:02x}", text, 8.0)
                code = answer.code
                if code:
                    break
                if step in (1, 2):
                    await asyncio.sleep(REST_S)
            told[id] = (loop.time(), code or "ok")
        except (OSError, TimeoutError):
            told[id] = (loop.time(), "cut")
        except Exception as refusal:  # a Refusal at CONNECT
            told[id] = (loop.time(), getattr(refusal, "code", "?"))
        finally:
            if session is not None:
                session.close(polite=session.state == "I")
        if told[id][1] != "ok":
            await asyncio.sleep(0.05)


async def restart(record, estate, group, old):
    """Waits for the call that promotes a replica, and restarts the other one, which was paused."""
    while not any(status == 200 for *_, status in estate.cloud.calls):
        await asyncio.sleep(0.002)
    chosen = next(member for _, _, member, _, _, status in estate.cloud.calls if status == 200)
    other = next(m for m in group.members.values() if m is not old and m.id != chosen)
    record.add(f"the platform is asked to promote {chosen}; {other.id} was paused ({other.held})")
    if not is_troubled():
        return
    await other.crash()
    record.add(f"{other.id} crashes")
    await asyncio.sleep(DOWN_S)
    await other.start()
    record.add(f"{other.id} is back with its log, {DOWN_S} s later")


async def case(record, folder):
    """Returns whether every commit that a client was told of is in the log of the promoted member."""
    scene.Member = CutMember
    estate = scene.Scene(
        ROOT,
        folder,
        services=1,
        lag_ms=LAG_MS,
        work_ms=WORK_MS,
        promote_ms=PROMOTE_MS,
        slots=SLOTS,
        conn_limit=CONN_LIMIT,
        net_ms=8,
    )
    estate.routes[0] = Route("pri0", "svc0", timeout_ms=TIMEOUT_MS, target_ms=300)
    cores = [m for m in estate.fleet.machines.values() if m.node_class == "core"]
    CutMember.cores = staticmethod(lambda: [p.pid for m in cores for p in m.processes.values()])
    async with estate:
        group = estate.groups["svc0"]
        old, told, stop = group.leader, {}, asyncio.Event()
        old._beats._caller = CutCaller(old, old._beats._caller)
        clients = [asyncio.ensure_future(transact(estate, n, told, stop)) for n in range(CLIENTS)]
        await asyncio.sleep(BEFORE_S)
        restarting = asyncio.ensure_future(restart(record, estate, group, old))
        old.cut = True
        record.add(f"{old.id}, the primary, is cut off from the control nodes")
        loop = asyncio.get_running_loop()
        heal = loop.call_later(CUT_S, setattr, old, "cut", False)
        async with asyncio.timeout(20):
            while group.leader is old:
                await asyncio.sleep(0.005)
        record.add(f"{group.leader.id} leads term {group.term}")
        await restarting
        await asyncio.sleep(AFTER_S)
        heal.cancel()
        old.cut = False
        stop.set()
        await asyncio.gather(*clients, return_exceptions=True)
        held = report(record, estate, group, told)
    return held


def report(record, estate, group, told):
    """Writes down the calls and the outcome; returns whether no commit that a client knows of was lost."""
    for at, service, member, holder, fence, status in estate.cloud.calls:
        record.add(
            f"at {record.shift(at):.3f} {holder} asked for {member} of {service}, fence {fence}: {status}"
        )
    outcomes = {}
    for _, code in told.values():
        outcomes[code] = outcomes.get(code, 0) + 1
    record.add(f"transactions by what their client was told: {outcomes}")
    lost = 0
    for entry in group.entries:
        id = entry.writes[0][0][:-2]
        if entry.cut_at is not None and told.get(id, (0, ""))[1] == "ok":
            lost += 1
            record.add(
                f"LOST: transaction {id}, commit {entry.term}.{entry.number}, was answered with success at "
                f"{record.shift(told[id][0]):.3f} and cut at {record.shift(entry.cut_at):.3f}"
            )
    record.add(f"{lost} acknowledged commits are not in the log of the promoted member")
    return not lost


if __name__ == "__main__":
    sys.exit(play_case(HERE, case))
