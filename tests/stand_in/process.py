import asyncio
import contextlib
import os
import signal

__all__ = ["Process"]

START_TROUBLE_S = 1.0
"""An end within this time of a start is one amid trouble, as the page RULES has it (Own ends, In touch)."""


class Process:
    """One real process; it is started again a short while after it ends, until it is switched off.

    `write_settings(first)` is called before each start. `own_ends` lists the exit codes of ends that nobody asked for;
    a SIGHUP that meets the start of the interpreter, before the program has a say, is not among them.
    """

    def __init__(self, argv, cwd, env, log, write_settings, pause=0.5):
        self._argv, self._cwd, self._env, self._log, self._write = (
            argv,
            cwd,
            env,
            log,
            write_settings,
        )
        self._pause = pause
        self._child, self._keeper, self._told = None, None, False
        self._descriptor = None
        self.starts, self.own_ends = 0, []
        self._started_at = 0.0

    @property
    def pid(self):
        """Its process id, or None while it doesn't run."""
        return self._child.pid if self._child and self._child.returncode is None else None

    async def on(self):
        """Starts it, and keeps it running."""
        await self._spawn()
        self._keeper = asyncio.ensure_future(self._keep())

    async def off(self):
        """Kills it and leaves it off."""
        if self._keeper:
            self._keeper.cancel()
            await asyncio.wait([self._keeper])
            self._keeper = None
        self.send(signal.SIGKILL)
        if self._child:
            await self._child.wait()
        self._close_descriptor()

    def send(self, number):
        """Sends it a signal.

        `Popen.send_signal` polls first; if the process has just ended, that takes its exit code away from the event
        loop, which then reports 255.
        """
        if self.pid and self._descriptor is not None:
            self._told = self._told or number in (signal.SIGKILL, signal.SIGTERM)
            with contextlib.suppress(ProcessLookupError):
                signal.pidfd_send_signal(self._descriptor, number)

    async def terminate(self, grace):
        """Sends SIGTERM, and SIGKILL after `grace` seconds; returns its exit code."""
        child = self._child
        self.send(signal.SIGTERM)
        try:
            await asyncio.wait_for(child.wait(), grace)
        except TimeoutError:
            self.send(signal.SIGKILL)
        return await child.wait()

    def _is_hangup_at_start(self, code):
        ran_s = asyncio.get_running_loop().time() - self._started_at
        return code == -signal.SIGHUP and ran_s <= START_TROUBLE_S

    async def _spawn(self):
        self._write(self.starts == 0)
        self.starts += 1
        self._started_at = asyncio.get_running_loop().time()
        self._told = False
        with open(self._log, "ab") as out:
            self._child = await asyncio.create_subprocess_exec(
                *self._argv,
                cwd=self._cwd,
                env=self._env,
                stdin=asyncio.subprocess.DEVNULL,
                stdout=out,
                stderr=out,
            )
        self._close_descriptor()
        with contextlib.suppress(ProcessLookupError):  # it may have ended already
            self._descriptor = os.pidfd_open(self._child.pid)

    def _close_descriptor(self):
        if self._descriptor is not None:
            os.close(self._descriptor)
            self._descriptor = None

    async def _keep(self):
        while True:
            code = await self._child.wait()
            if not self._told and not self._is_hangup_at_start(code):
                self.own_ends.append(code)
            await asyncio.sleep(self._pause)
            await self._spawn()
