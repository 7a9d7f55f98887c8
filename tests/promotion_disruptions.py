"""Disruptions around promotions and stops of proxies, for the soaks of real processes."""

import asyncio
import contextlib

from disruptions import Soak
from stand_in.route import Route
from stand_in.session import Session
from stand_in.until import until
from stand_in.violation import Violation

__all__ = ["PromotionSoak"]

MAX_FIRST_BEAT_S = 4.0
PROMOTION_WITHIN_S = 10.0
PROMOTE_MARGIN_S = 0.2
MAX_CUT_S = 6.0
MAX_BUSY_S = 3.0
MAX_SIGNAL_GAP_S = 0.4
WAITING_SESSIONS = 4
WAITING_DATABASE, WAITING_SERVICE = "waiting", "svcwait"
WAITING_TIMEOUT_MS = 12_000
STATEMENT = "PUT 1 a"
NOT_RUN_CODES = ("ABORTED", "BUSY", "NODB")
EXCUSED = "sent at the end"
"""The outcome of a statement that was sent so shortly before the cut that the rule excuses it."""


class PromotionSoak(Soak):
    """Primaries are replaced while unknown members receive and paused ones restart; proxies get signals in series.

    Even seeds have planned work alone, so that each statement that a proxy cuts breaks a rule.
    """

    AIMED = ("release_beside_late_beat", "restart_during_promotion", "stop_amid_waits")
    SINGLE = (*Soak.SINGLE, "cut_primary_from_control", "keep_members_busy", "signal_in_series")
    PLANNED_AIMED = ("release_beside_late_beat", "stop_amid_waits")
    PLANNED = (
        "replace_member",
        "stop_proxies",
        "stop_control_node",
        "reload",
        "configure",
        "evacuate",
        "keep_members_busy",
        "signal_in_series",
    )

    def __init__(self, scene, seed):
        super().__init__(scene, seed)
        self._outcomes = []
        self._is_planned = seed % 2 == 0
        if self._is_planned:
            self.AIMED, self.SINGLE = self.PLANNED_AIMED, self.PLANNED

    def notes(self):
        """Returns how the statements that waited for a database without members were answered."""
        counts = {outcome: self._outcomes.count(outcome) for outcome in sorted(set(self._outcomes))}
        return [f"statements without members {counts}"]

    def violations(self):
        """Amid planned work alone, statements that no member had are answered as not run."""
        if not self._is_planned:
            return []
        return [
            Violation("LOST", f"a statement without members ended with {outcome}")
            for outcome in self._outcomes
            if outcome not in (*NOT_RUN_CODES, EXCUSED)
        ]

    def _draw_kind(self):
        return self.random.choice(self.AIMED if self.random.random() < 0.5 else self.SINGLE)

    async def release_beside_late_beat(self, group):
        """A new member receives before its first beat arrives, while another one leaves in order."""
        late_s = self.random.uniform(0.0, MAX_FIRST_BEAT_S)
        pause_s = self.random.uniform(0.0, 1.0)
        candidates = [group.leader] if self.random.random() < 0.7 else group.members.values()
        old = self._take([member for member in candidates if member])
        if old is None:
            return
        await self.scene.join(group.service, old.zone, late_s)
        await asyncio.sleep(pause_s)
        await self.scene.leave(old)
        self._free(old)

    async def restart_during_promotion(self, group):
        """Another replica restarts while the platform promotes one, which may receive nothing meanwhile."""
        is_planned = self.random.random() < 0.5
        is_deaf, down_s = self.random.random() < 0.7, self.random.uniform(0.02, 0.3)
        old = self._take_primary(group)
        if old is None:
            return
        trigger = self.scene.release(old) if is_planned else self._cut(old)
        changing = asyncio.ensure_future(trigger)
        candidate = await self._next_candidate(group)
        if candidate is not None:
            candidate.deaf = candidate.deaf or is_deaf
            other = self._take([m for m in group.members.values() if m not in (old, candidate)])
            if other is not None:
                await other.crash()
                await asyncio.sleep(down_s)
                await other.start()
            await asyncio.sleep(group.promote_ms / 1000 + PROMOTE_MARGIN_S)
            candidate.deaf = False
            group.changed.fire()
            self._free(other)
        await changing
        self._free(old)

    async def _next_candidate(self, group):
        """The member of the next call to the platform for this group, or None if none comes."""
        calls, known = self.scene.cloud.calls, len(self.scene.cloud.calls)

        def asked():
            return [call[2] for call in calls[known:] if call[1] == group.service]

        try:
            await until(asked, PROMOTION_WITHIN_S, gap=0.005)
        except TimeoutError:
            return None
        return group.members.get(asked()[0])

    def _cut(self, member):
        return self.scene.cut_from_control(member, self.random.uniform(2.0, MAX_CUT_S))

    async def cut_primary_from_control(self, group):
        member = self._take_primary(group)
        if member is not None:
            await self._cut(member)
        self._free(member)

    async def keep_members_busy(self, group):
        """All members answer BUSY for a while."""
        members = list(group.members.values())
        seconds = self.random.uniform(0.3, MAX_BUSY_S)
        for member in members:
            member.refuse = True
        await asyncio.sleep(seconds)
        for member in members:
            member.refuse = False

    async def signal_in_series(self, group):
        """SIGHUP, a configuration and SIGTERM for some proxies, one after the other and again; they overlap."""
        names = self._machines("edge", self.random.randint(1, 3))
        stops = []
        for name in names:
            for _ in range(self.random.randint(1, 3)):
                self.scene.fleet.hup(name)
                await asyncio.sleep(self.random.uniform(0.0, MAX_SIGNAL_GAP_S))
            await self.scene.configure()
            stops.append(asyncio.ensure_future(self.scene.fleet.terminate(name)))
            await asyncio.sleep(self.random.uniform(0.0, MAX_SIGNAL_GAP_S))
            self.scene.fleet.hup(name)
        await asyncio.gather(*stops)

    async def stop_amid_waits(self, group):
        """A proxy gets SIGTERM while statements of a database without members wait at it."""
        [name] = self._machines("edge", 1)
        pause_s = self.random.uniform(0.0, 2.0)
        await self._add_waiting_database()
        front = next(front for machine, _, front, _ in self.scene.fleet.fronts() if machine == name)
        asked = [
            asyncio.ensure_future(self._ask_without_members(front, number))
            for number in range(WAITING_SESSIONS)
        ]
        await asyncio.sleep(pause_s)
        await self.scene.fleet.terminate(name)
        await asyncio.gather(*asked)

    async def _add_waiting_database(self):
        document = self.scene.config()
        route = Route(WAITING_DATABASE, WAITING_SERVICE, timeout_ms=WAITING_TIMEOUT_MS)
        document["Routes"].append(route.row())
        document["Services"].append({**document["Services"][0], "Name": WAITING_SERVICE})
        await self.scene.operator.replace(document)

    async def _ask_without_members(self, front, number):
        """Asks one statement; a proxy that takes no session, or is gone, counts for nothing."""
        with contextlib.suppress(Exception):
            session = await Session.open(front, WAITING_DATABASE, f"w{number}")
            self._outcomes.append(await self._outcome(session, number))
            session.close()

    async def _outcome(self, session, number):
        sent = asyncio.get_running_loop().time()
        try:
            answer = await session.ask(f"{number:016x}", STATEMENT, WAITING_TIMEOUT_MS / 1000)
        except (ConnectionError, TimeoutError) as error:
            elapsed_s = asyncio.get_running_loop().time() - sent
            slack_s = self.scene.fleet.bounds["LossSlackMs"] / 1000
            return EXCUSED if elapsed_s <= slack_s else repr(error)
        return answer.code
