"""A control plane of its own size: real links over loopback, three seats and many hollow edges that only hold ties."""

import asyncio
import json
import random
import shutil
import tempfile
import time

from petrelhaven.control.base_node import ControlNodeIdentity, NodeResources
from petrelhaven.control.node import ControlNode
from petrelhaven.control.storage.disk import Folder
from petrelhaven.proxy.core_connection import CoreConnection
from petrelhaven.runtime.clock import Clock
from petrelhaven.runtime.tasks import BackgroundTasks
from petrelhaven.transport import link as linking

__all__ = ["hollow"]

_GROUPS = 40


class _Count:
    """Messages and bytes that the links of one side sent."""

    __slots__ = ("n", "size")

    def __init__(self):
        self.n = self.size = 0

    def add(self, raw):
        """One message more."""
        self.n += 1
        self.size += len(raw) + 6


class _Link(linking.Link):
    def __init__(self, clock, tasks, count):
        super().__init__(clock, tasks)
        self._count = count

    def _wrap(self, r, w):
        c = super()._wrap(r, w)
        send = c._send

        def sent(b):
            self._count.add(b)
            send(b)

        c._send = sent
        return c

    def send_datagram(self, addr, kind, body):
        self._count.n += 1
        self._count.size += len(linking.pack(kind, linking.DATAGRAM, 0, body))
        super().send_datagram(addr, kind, body)


def _configuration(version, routes):
    return json.dumps(
        {
            "name": "hollow",
            "version": version,
            "halls": ["a", "b", "c"],
            "groups": [{"name": f"g{i}", "sync": 1} for i in range(_GROUPS)],
            "routes": [
                {
                    "name": f"r{i}",
                    "group": f"g{i % _GROUPS}",
                    "host": f"host{i}",
                    "timeout_us": 1_000_000 + (version if i == 0 else 0),
                }
                for i in range(routes)
            ],
        }
    )


async def _until(ok, s=60):
    end = time.monotonic() + s
    while not ok():
        if time.monotonic() > end:
            raise TimeoutError
        await asyncio.sleep(0.002)


async def _run(edges, routes, secs):
    clock, tasks = Clock(), BackgroundTasks()
    tmp = tempfile.mkdtemp()
    cores, core_connections = _Count(), _Count()
    nodes, links = [], []
    try:
        ls = [_Link(clock, tasks, cores) for _ in range(3)]
        for x in ls:
            await x.start()
        seeds = [x.addr for x in ls]
        for i, x in enumerate(ls):
            s = ControlNode(
                ControlNodeIdentity(f"core-{i}", "abc"[i], list(seeds)),
                NodeResources(clock, tasks, x, Folder(f"{tmp}/{i}"), random.Random(i)),
                None,
                None,
                1_200_000,
            )
            nodes.append(s)
            s.start()
        await _until(lambda: all(s.chain.active for s in nodes))
        await nodes[0].apply(_configuration(1, routes))
        held = []
        for i in range(edges):
            x = _Link(clock, tasks, core_connections)
            links.append(x)
            t = CoreConnection(
                clock,
                tasks,
                x,
                random.Random(i),
                f"edge-{i}",
                list(seeds),
                lambda h, i=i: 0 if h == "abc"[i % 3] else 2,
            )
            held.append(t)
            t.start()
        await _until(lambda: all(t.holds_lease for t in held))
        await asyncio.sleep(2)
        a = (
            time.process_time(),
            cores.n,
            cores.size,
            core_connections.n,
            core_connections.size,
            time.monotonic(),
        )
        await asyncio.sleep(secs)
        b = (
            time.process_time(),
            cores.n,
            cores.size,
            core_connections.n,
            core_connections.size,
            time.monotonic(),
        )
        calm = [(y - x) / (b[5] - a[5]) for x, y in zip(a, b)][:5]
        acks, alls, size = [], [], cores.size
        for v in range(2, 7):
            t0 = time.monotonic()
            await nodes[v % 3].apply(_configuration(v, routes))
            acks.append(time.monotonic() - t0)
            await _until(
                lambda v=v: all(t.control_state.doc["manifest"]["version"] >= v for t in held)
            )
            alls.append(time.monotonic() - t0)
        return calm, sorted(acks)[2], sorted(alls)[2], (cores.size - size) / 5
    finally:
        for x in [*links, *(s.link for s in nodes)]:
            await x.close()
        await tasks.close()
        shutil.rmtree(tmp, ignore_errors=True)


def hollow():
    """What control costs at several sizes of fleet and of manifest; processor time is of this whole process."""
    heads = (
        "edges",
        "routes",
        "msgs/s a core",
        "KB/s a core",
        "msgs/s an edge",
        "KB/s an edge",
        "cpu % of a core",
        "acknowledged ms",
        "everywhere ms",
        "KB a change",
    )
    print(" ".join(heads))
    for edges, routes in ((6, 10), (86, 10), (300, 10), (600, 10), (86, 100), (86, 1000)):
        c, ack, every, size = asyncio.run(_run(edges, routes, 10))
        row = (c[1] / 3, c[2] / 3000, c[3] / edges, c[4] / edges / 1000, c[0] * 100)
        row += (ack * 1000, every * 1000, size / 1000)
        print(
            " ".join(
                [f"{edges:>{len(heads[0])}}", f"{routes:>{len(heads[1])}}"]
                + [f"{x:>{len(h)}.3f}" for x, h in zip(row, heads[2:])]
            ),
            flush=True,
        )
    return 0
