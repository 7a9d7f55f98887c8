"""Time limits for real processes that exclude the time for which a busy machine gave them no processor.

Processes run in real time, so a limit such as "within 12 seconds" can't use a virtual clock. The kernel counts for each
process how long it was ready to run and waited for a processor; the product isn't responsible for that time. Only the
wait of the process that waited longest is subtracted: waits overlap, and subtracting their sum would make every limit
meaningless.
"""

import asyncio
import inspect
import os
import time

from virtual_io import HANG_S

from petrelhaven.simulator.fleet import until

__all__ = ["MachineTime", "wait_within", "pids_of", "play"]

IDLE_MACHINE_SHARE = 0.1
"""A machine counts as idle if no process waited for a processor for more than this share of the time."""


def _waited_s(pid):
    """Returns the seconds for which a process was ready without a processor; 0 once it has ended."""
    try:
        with open(f"/proc/{pid}/schedstat", encoding="ascii") as file:
            return int(file.read().split()[1]) / 1e9
    except (OSError, IndexError):
        return 0.0


class MachineTime:
    """Measures how long processes wait for a processor: those that `pids()` returns and this one."""

    def __init__(self, pids):
        self._pids = pids
        self._started_at = time.monotonic()
        self._initial_waits = {pid: _waited_s(pid) for pid in self._all_pids()}
        self._waits = {}

    def _all_pids(self):
        return {os.getpid(), *self._pids()}

    def waited_s(self):
        """Returns the seconds since the start that the longest-waiting process had no processor.

        A process that has ended counts with its wait at the last call.
        """
        for pid in self._all_pids():
            waited = _waited_s(pid) - self._initial_waits.get(pid, 0.0)
            self._waits[pid] = max(self._waits.get(pid, 0.0), waited)
        return max(self._waits.values())

    async def sample_for(self, seconds, gap=0.2):
        """Measures periodically for `seconds`, to include the waits of processes that end meanwhile."""
        while time.monotonic() - self._started_at < seconds:
            self.waited_s()
            await asyncio.sleep(gap)

    def waited_share(self):
        """Returns the longest wait as a share of the time since the start; 0 on an idle machine."""
        share = self.waited_s() / (time.monotonic() - self._started_at)
        return min(share, 1.0) if share > IDLE_MACHINE_SHARE else 0.0

    def used_s(self):
        """Returns the seconds since the start minus the longest wait for a processor."""
        return time.monotonic() - self._started_at - self.waited_s()


def pids_of(fleet):
    """Returns the ids of the running processes of a simulator or stand-in fleet."""
    if hasattr(fleet, "machines"):
        running = [
            process for machine in fleet.machines.values() for process in machine.processes.values()
        ]
        return [process.pid for process in running if process.pid]
    return [
        process.p.pid
        for process in fleet.procs.values()
        if process.p and process.p.returncode is None
    ]


async def play(scene, seconds, faults=(), **kw):
    """Runs a stand-in scene and returns the share of time without a processor (0 on an idle machine)."""
    machine = MachineTime(lambda: pids_of(scene.fleet))
    await asyncio.gather(scene.play(seconds, faults, **kw), machine.sample_for(seconds))
    return machine.waited_share()


async def wait_within(fleet, seconds, check):
    """Waits until `check` returns a true value and returns it; fails if that takes over `seconds`."""
    machine = MachineTime(lambda: pids_of(fleet))

    async def measured_check():
        machine.waited_s()
        answer = check()
        return await answer if inspect.isawaitable(answer) else answer

    answer = await until(measured_check, HANG_S)
    used = machine.used_s()
    assert used <= seconds, f"{used:.1f} s, {machine.waited_s():.1f} s more without a processor"
    return answer
