import asyncio
import collections
import random

from .client import Client
from .cloud import Cloud
from .fleet import Fleet
from .group import Group
from .history import History
from .judge import judge
from .loopback import network
from .member import Member
from .operator import Operator
from .route import Route
from .router import Router
from .socket_owner import is_owned_by
from .tenant import Tenant
from .until import until
from .verdict import Verdict

__all__ = ["Scene"]

START_S = 120.0
"""Real seconds after which a start counts as a hang."""
FIRST_JOINED_HOST = 200
"""Members that join at addresses of their own are above this host number."""


class Scene:
    """The whole estate around the system's real processes: members, cloud, operator, clients and the judge.

    With `tenants` its configuration has so many, each with two keys and a limit, and clients show keys.

    Use it as `async with`, then `play` and `verdict`; `fleet`, `groups`, `cloud` and `operator` take the faults.
    """

    def __init__(
        self,
        root,
        folder,
        *,
        zones=3,
        cores=3,
        edges=3,
        services=2,
        members=3,
        bounds=None,
        tenants=0,
        rate_per_s=400,
        burst=400,
        **group,
    ):
        self._net = net = network()
        self._joined = 0
        self.history = History()
        self.zones = {f"hall-{chr(97 + i)}": f"region-{chr(97 + i)}" for i in range(zones)}
        self.cloud = Cloud({}, f"127.{net}.250.1:8186")
        self.fleet = Fleet(
            root,
            folder,
            self.history,
            self.zones,
            edges=edges,
            cores=cores,
            net=net,
            cloud=self.cloud.address,
            bounds=bounds,
            tenants=bool(tenants),
        )
        self._keys = random.Random(tenants)
        self.tenants = [Tenant(f"tenant{i}", [], rate_per_s, burst) for i in range(tenants)]
        for tenant in self.tenants:
            tenant.keys += [self._new_key(), self._new_key()]
        self.operator = Operator(self.history, self.fleet.listed_controls)
        self.router = Router(self.fleet.fronts, list(self.zones))
        self.groups = self.cloud.groups
        self.clients = []
        self.removed = {}
        self._excused_times = []
        self.routes = []
        self._revision = 6
        for s in range(services):
            name = f"svc{s}"
            g = self.groups[name] = Group(name, self.history, **group)
            for i in range(members):
                zone = list(self.zones)[(s + i) % zones]
                address = f"127.{net}.{(s + i) % zones + 1}.{101 + s * 10 + i}:8080"
                g.add(Member(g, f"i-{s:04x}{i:04x}", address, zone, self.fleet.listed_controls))
            self.routes += [
                Route(f"pri{s}", name),
                Route(f"bnd{s}", name, "bounded_staleness", 1500, writes=0.0, transactions=0.1),
            ]

    async def __aenter__(self):
        try:
            await self.cloud.start()
            await asyncio.gather(
                *(m.start() for g in self.groups.values() for m in g.members.values())
            )
            await self.fleet.start()
            self.router.start()
            order = await self.configure()
            if order.acked_at is None:
                raise RuntimeError(f"the first configuration was answered with {order.status}")
            await until(lambda: len(self.router.ready()) == len(self.fleet.fronts()), START_S)
        except BaseException:
            await self.__aexit__()
            raise
        return self

    async def __aexit__(self, *_):
        await self.router.close()
        await self.fleet.close()
        await self.operator.close()
        await asyncio.gather(*(m.close() for g in self.groups.values() for m in g.members.values()))
        await self.cloud.close()

    def config(self, **changes):
        """The next configuration: the routes of `routes` and all services."""
        self._revision += 1 + self._revision % 3
        services = [
            {
                "Name": g.service,
                "HealthPath": "/health",
                "ConnLimit": g.conn_limit,
                "Protocol": "h1",
                "TlsMode": False,
                "WarmupS": 0.0,
                "WarmupRateS": 0.0,
                "SyncReplicas": g.sync_replicas,
            }
            for g in self.groups.values()
        ]
        limits = {
            "MaxHeaderBytes": 16384,
            "MaxBodyBytes": 262144,
            "HeaderTimeoutMs": 3000,
            "IdleTimeoutMs": 15000,
            "TxnIdleMs": 3000,
        }
        tenants = {"Tenants": [t.row() for t in self.tenants]} if self.tenants else {}
        return {
            **tenants,
            "Revision": self._revision,
            "Routes": [r.row(1 + (r.writes == 0)) for r in self.routes],
            "Services": services,
            "Limits": limits,
            **changes,
        }

    async def configure(self, valid=True, **changes):
        """Sends the next configuration; returns its order."""
        return await self.operator.replace(self.config(**changes), valid)

    async def add_key(self, tenant):
        """Gives a tenant another key; its clients show that one from its acknowledgement on. Returns the order."""
        key = self._new_key()
        tenant.keys.append(key)
        order = await self.configure()
        if order.acked_at is not None:
            for client in self.clients_of(tenant):
                client.key = key
        return order

    async def remove_key(self, tenant, key):
        """Takes a key away; what clients ask under it from then on isn't owed. Returns the order."""
        tenant.keys.remove(key)
        self.removed[key] = self.history.now()
        return await self.configure()

    def clients_of(self, tenant):
        """The clients that show a key of a tenant, also one that it had earlier."""
        return [c for c in self.clients if c.tenant is tenant]

    def _new_key(self):
        return f"{self._keys.getrandbits(96):024x}"

    def _give_key(self, client, nth):
        client.tenant = None
        if self.tenants:
            turn, which = divmod(nth, len(self.tenants))
            client.tenant = self.tenants[which]
            client.key = client.tenant.keys[turn % len(client.tenant.keys)]

    def excuse(self, begin, end):
        """Operations that clients begin in this time aren't owed; the rules hold for them all the same."""
        self._excused_times.append((begin, end))

    def _owed(self, operation):
        removed = self.removed.get(operation.key)
        if any(begin <= operation.started < end for begin, end in self._excused_times):
            return False
        return not operation.left and (removed is None or operation.ended < removed)

    def primary(self, service="svc0"):
        """The member that leads a service."""
        return self.groups[service].leader

    def replica(self, service="svc0"):
        """A member of a service that does not lead it."""
        return next(m for m in self.groups[service].members.values() if not m.leads)

    async def release(self, member, drain_ms=None):
        """A member's planned end, after which a new member with its log stands at its address; returns that."""
        await member.release(drain_ms or self.fleet.bounds["DrainMs"])
        return await self._replace(member)

    async def sign_off(self, member, serve_ms):
        """A member signs off first, serves on for `serve_ms` and ends; returns the new one at its address."""
        await member.sign_off(serve_ms)
        return await self._replace(member)

    async def join(self, service="svc0", zone=None, first_beat_after_s=0.0):
        """Starts a new member without a log at an address of its own; returns it."""
        group = self.groups[service]
        self._joined += 1
        zone = zone or group.leader.zone
        place = list(self.zones).index(zone) + 1
        address = f"127.{self._net}.{place}.{FIRST_JOINED_HOST + self._joined}:8080"
        id = f"i-j{self._joined:07x}"
        new = Member(group, id, address, zone, self.fleet.listed_controls, revision="v2")
        new.beat_first_after(first_beat_after_s)
        group.members[id] = new
        return await new.start()

    async def leave(self, member, drain_ms=None):
        """A member's planned end, after which nobody stands at its address."""
        await member.release(drain_ms or self.fleet.bounds["DrainMs"])
        del member.group.members[member.id]

    def cut_from_control(self, member, seconds):
        """Cuts a member off from the control nodes alone, for `seconds`; returns a coroutine."""
        controls = [m for m in self.fleet.machines.values() if m.does_serve("control")]
        pids = {p.pid for m in controls for p in m.processes.values() if p.pid}
        return member.cut_from(lambda peer: is_owned_by(peer, pids), seconds)

    async def _replace(self, member):
        new = Member(
            member.group,
            f"{member.id}n",
            member.address,
            member.zone,
            self.fleet.listed_controls,
            revision="v2",
        )
        member.group.replace(member, new)
        return await new.start()

    async def play(self, seconds, faults=(), clients=4, rate=4.0):
        """Lets `clients` for each route and zone work for `seconds`; `faults` are (second, function) pairs."""

        async def strike(at, fault):
            await asyncio.sleep(at)
            done = fault()
            if asyncio.iscoroutine(done):
                await done

        crowd = []
        for route in self.routes:
            for i in range(clients):
                zone = list(self.zones)[i % len(self.zones)]
                name = f"u{len(self.clients) + len(crowd)}"
                client = Client(
                    name,
                    route,
                    lambda n, z=zone, c=name: self.router.pick(z, c, n),
                    self.history,
                    rate=rate,
                    lasting=i % 4 < 3,
                )
                crowd.append(client)
                self._give_key(client, len(self.clients) + len(crowd))
        self.clients += crowd
        await asyncio.gather(*(c.run(seconds) for c in crowd), *(strike(*f) for f in faults))

    async def verdict(self):
        """Reads the configuration back and judges what was seen."""
        await self.operator.fetch()
        violations = judge(
            self.history,
            drain_ms=self.fleet.bounds["DrainMs"],
            evacuate_ms=self.fleet.bounds["EvacuateMs"],
            contact_ms=self.fleet.bounds["ContactMs"],
            loss_slack_ms=self.fleet.bounds["LossSlackMs"],
            apply_ms=self.fleet.bounds["ApplyMs"],
        )
        owed = [o for c in self.clients for o in c.operations if self._owed(o)]
        return Verdict(
            violations,
            len(owed),
            sum(o.served for o in owed),
            sum(o.in_aim for o in owed),
            self.fleet.own_ends(),
            dict(collections.Counter(o.last for o in owed if not o.served)),
            self.fleet.logged_errors(),
        )
