"""Keys of tenants on the wire: who is let in, and what a member learns of it.

The proxy, its clients' connections and its connections to members are the shipped ones; the member
is a script that speaks the members' lines, so that a test sees what a member would.
"""

import asyncio
import hashlib

import pytest
from test_platform_lines import CONFIG, FakeTransport, LineWire, replies, rest, said, virtual

KEY, OTHER_KEY = "key-One", "key-two"
TENANTS = [
    {"Name": "school", "ApiKeys": [KEY]},
    {"Name": "Böse-Agentur", "ApiKeys": [OTHER_KEY, "key-three"]},
    {"Name": "keyless", "ApiKeys": []},
]
KEYED = {**CONFIG, "Tenants": TENANTS}
PUBLIC = {**KEYED, "Routes": [{**CONFIG["Routes"][0], "Public": True}]}
_POSITION = "1.7"


class MemberTransport(FakeTransport):
    """One connection to the scripted member: keeps whom it is for, answers each line."""

    def __init__(self, member, protocol):
        super().__init__()
        self.member, self.front, self.who, self._state = member, protocol, None, "I"

    def write(self, data):
        super().write(data)
        *lines, incomplete = data.decode("utf-8", "surrogateescape").split("\r\n")
        assert not incomplete, "the proxy writes whole lines"
        for line in lines:
            answer = self._answer(line).encode("utf-8", "surrogateescape")
            asyncio.get_running_loop().call_soon(self.front.data_received, answer)

    def _answer(self, line):
        word, _, fields = line.partition(" ")
        if word == "CONNECT":
            service, self.who, member_id = fields.split(" ")
            assert (service, member_id) == ("svc", "m1")
            return f"READY I {_POSITION}\r\n"
        number, _, text = fields.partition(" ")
        if number != "-":
            self.member.ran.append((self.who, text))
        if text.split(" ")[0] in ("BEGIN", "COMMIT", "ROLLBACK"):
            self._state = "T" if text.startswith("BEGIN") else "I"
        row = f"ROW primary 1 {_POSITION} 0 0 0 1\r\n" if text == "STATUS" else ""
        return f"{row}COMPLETE stamp\r\nREADY {self._state} {_POSITION}\r\n"


class ScriptedMember:
    """`ran` holds (whom the connection was opened for, text) of each client's statement."""

    def __init__(self):
        self.ran, self.connections = [], []

    async def connect(self, protocol_factory, host, port, **_options):
        protocol = protocol_factory()
        transport = MemberTransport(self, protocol)
        self.connections.append(transport)
        protocol.connection_made(transport)
        return transport, protocol

    def names_heard(self):
        return {transport.who for transport in self.connections}

    def heard(self):
        """Every byte that any of its connections received."""
        return b"".join(transport.out for transport in self.connections)


def on_the_wire(scene, configuration=KEYED):
    """Runs `scene(door, member)` with a proxy that knows `configuration`, or none yet for None."""

    async def go(door):
        member = ScriptedMember()
        door.proxy.wire = LineWire(door.clock)
        asyncio.get_running_loop().create_connection = member.connect
        if configuration is not None:
            door.configure(configuration)
        return await scene(door, member)

    return virtual(go, leave_starting=True)


def connect(who, database=b"db"):
    return b"CONNECT " + database + b" " + who + b"\r\n"


def assert_denied(door, member, transport):
    assert transport.out.startswith(b"ERROR DENIED "), transport.out
    assert transport.out.count(b"\r\n") == 1 and transport.closed
    assert not door.proxy.sessions and not door.door
    assert member.ran == []


def codes(transport):
    """The word that ended each statement: COMPLETE, or the error's."""
    return [end.split(b" ")[0 if end[:1] == b"C" else 1] for _, end, _ in replies(transport.out)[0]]


NOT_A_KEY = {
    "unknown": connect(b"stranger"),
    "no field": b"CONNECT db\r\n",
    "empty word": b"CONNECT db \r\n",
    "other letter case": connect(KEY.swapcase().encode()),
    "no UTF-8": connect(b"\xff\xfe\x80"),
    "key with a byte that is no UTF-8": connect(KEY.encode() + b"\xff"),
    "whole digest of a key": connect(hashlib.sha256(KEY.encode()).hexdigest().encode()),
    "short digest of a key": connect(hashlib.sha256(KEY.encode()).hexdigest()[:32].encode()),
    "name of a tenant": connect(b"school"),
    "name of a tenant without keys": connect(b"keyless"),
    "the system's own name": connect(b"petrelhaven"),
    "beginning of a key": connect(KEY[:-1].encode()),
    "key with a tail": connect(KEY.encode() + b"x"),
    "key and a tab": connect(KEY.encode() + b"\t"),
    "key and a NUL": connect(KEY.encode() + b"\0"),
}
# the last field goes on to the end of the line (page PROTOCOL)
KEY_AND_MORE = {
    "key and another word": connect(KEY.encode() + b" more"),
    "key and a blank": connect(KEY.encode() + b" "),
    "blank and key": connect(b" " + KEY.encode()),
    "two keys": connect(KEY.encode() + b" " + OTHER_KEY.encode()),
}


async def scene_of_a_stranger(door, member, first):
    _, transport = door.client(first + said("PUT a 1", "BEGIN", "FETCH a", "COMMIT"))
    await rest()
    assert_denied(door, member, transport)


# ROUTE: a client that shows no tenant's key is let in, or what it sends runs at a member.
@pytest.mark.parametrize("name", NOT_A_KEY)
def test_an_invalid_key_is_denied_and_nothing_reaches_a_member(name):
    on_the_wire(lambda door, member: scene_of_a_stranger(door, member, NOT_A_KEY[name]))


# ROUTE: of a last field with blanks only the first word is taken for the key.
@pytest.mark.parametrize("name", KEY_AND_MORE)
def test_a_key_with_a_blank_before_or_after_it_is_denied(name):
    on_the_wire(lambda door, member: scene_of_a_stranger(door, member, KEY_AND_MORE[name]))


# ROUTE: a section without tenants, or tenants without keys, is taken for no section.
@pytest.mark.parametrize(
    "tenants",
    [[], [{"Name": "keyless"}], [{"Name": "keyless", "ApiKeys": []}]],
    ids=["no tenants", "no list of keys", "empty list of keys"],
)
def test_without_any_configured_key_every_client_is_denied(tenants):
    async def scene(door, member):
        for who in (b" me", b" ", b"", b" keyless"):
            _, transport = door.client(b"CONNECT db" + who + b"\r\n" + said("PUT a 1"))
            await rest()
            assert_denied(door, member, transport)

    on_the_wire(scene, {**CONFIG, "Tenants": tenants})


# ROUTE: what comes in pieces, after the refusal, runs because the connection was still read.
@pytest.mark.parametrize("piece", [1, 7, 19])
def test_statements_sent_with_a_denied_connect_do_not_run(piece):
    async def scene(door, member):
        client, transport = door.client(None)
        raw = connect(b"stranger") + said("PUT a 1", "FETCH a") + connect(KEY.encode())
        for at in range(0, len(raw), piece):
            client.data_received(raw[at : at + piece])
        client.data_received(said("PUT b 1"))
        await rest()
        assert_denied(door, member, transport)

    on_the_wire(scene)


# ROUTE: the check of the key comes before that of the database, so that a wrong name says DENIED.
@pytest.mark.parametrize("configuration", [KEYED, PUBLIC], ids=["keyed", "public"])
def test_an_unknown_database_is_reported_before_an_unknown_key(configuration):
    async def scene(door, member):
        for database in (b"nowhere", b"", b"DB"):
            for who in (KEY.encode(), b"stranger", b""):
                _, transport = door.client(connect(who, database) + said("PUT a 1"))
                await rest()
                assert transport.out.startswith(b"ERROR NODB "), (database, who, transport.out)
                assert transport.out.count(b"\r\n") == 1 and transport.closed
                assert not door.proxy.sessions and member.ran == []

    on_the_wire(scene, configuration)


# ROUTE: a tenant's own key is not let in, or runs for somebody else; a member is told the key.
@pytest.mark.parametrize("configuration", [KEYED, PUBLIC], ids=["keyed", "public"])
def test_a_key_runs_statements_as_its_tenant_and_members_never_receive_the_key(configuration):
    async def scene(door, member):
        for key, name in (
            (KEY, "school"),
            (OTHER_KEY, "Böse-Agentur"),
            ("key-three", "Böse-Agentur"),
        ):
            ran_before = len(member.ran)
            _, transport = door.client(
                connect(key.encode()) + said("PUT a 1", "BEGIN", "PUT a 2", "COMMIT")
            )
            await rest()
            assert codes(transport) == [b"COMPLETE"] * 4 and not transport.closed
            assert {who for who, _ in member.ran[ran_before:]} == {name}
            assert key.encode() not in member.heard()

    on_the_wire(scene, configuration)


# ROUTE: a public route asks for a key, or hands on to members what its client showed.
def test_a_public_route_accepts_any_client_and_members_receive_the_system_name():
    async def scene(door, member):
        for name, first in {**NOT_A_KEY, **KEY_AND_MORE}.items():
            member.ran.clear()
            _, transport = door.client(first + said("PUT a 1"))
            await rest()
            assert codes(transport) == [b"COMPLETE"] and not transport.closed, name
            assert member.ran == [("petrelhaven", "PUT a 1")], name
            assert member.names_heard() == {"petrelhaven"}, name

    on_the_wire(scene, PUBLIC)


# ROUTE: on a proxy that has just started, statements run before it knows which keys there are.
def test_no_statement_runs_before_the_first_configuration():
    async def scene(door, member):
        for who in (KEY.encode(), b"stranger", b""):
            _, transport = door.client(connect(who) + said("PUT a 1"))
            await rest()
            assert transport.out.startswith(b"ERROR BUSY ") and transport.closed, who
            assert member.ran == [] and not door.proxy.sessions, who

    on_the_wire(scene, None)


# ROUTE: a client that came before the first configuration is let in by it without its key.
def test_clients_that_connect_before_the_first_configuration_need_a_key():
    async def scene(door, member):
        _, stranger = door.client(connect(b"stranger") + said("PUT a 1"))
        _, known = door.client(connect(KEY.encode()) + said("PUT a 2"))
        await rest(0.5)
        assert stranger.out == known.out == b"" and member.ran == []
        door.configure(KEYED)
        await rest()
        assert stranger.out.startswith(b"ERROR DENIED ") and stranger.closed
        assert stranger.out.count(b"\r\n") == 1
        assert codes(known) == [b"COMPLETE"] and member.ran == [("school", "PUT a 2")]

    on_the_wire(scene, None)


# ROUTE: sessions that were opened while no key was asked for go on without one.
@pytest.mark.parametrize("before", [CONFIG, PUBLIC], ids=["no section", "public"])
def test_a_session_without_a_key_is_denied_once_keys_are_required(before):
    async def scene(door, member):
        client, transport = door.client(connect(b"stranger"))
        holder, holders = door.client(connect(KEY.encode()))
        client.data_received(said("PUT a 1"))
        await rest()
        door.configure({**KEYED, "Revision": 2})
        ran_before = len(member.ran)
        client.data_received(said("PUT a 2", "FETCH a"))
        holder.data_received(said("PUT a 3"))
        await rest()
        assert codes(transport)[0] == b"COMPLETE" and b"COMPLETE" not in codes(transport)[1:]
        assert codes(transport)[1] == b"DENIED"
        assert codes(holders) == [b"COMPLETE"]
        assert member.ran[ran_before:] == [("school", "PUT a 3")]

    on_the_wire(scene, before)


# ROUTE: the other way round, a client that needs no key any more is still refused.
@pytest.mark.parametrize("after", [CONFIG, PUBLIC], ids=["no section", "public"])
def test_any_client_is_accepted_once_no_key_is_required(after):
    async def scene(door, member):
        _, refused = door.client(connect(b"stranger") + said("PUT a 1"))
        await rest()
        assert_denied(door, member, refused)
        door.configure({**after, "Revision": 2})
        _, transport = door.client(connect(b"stranger") + said("PUT a 1"))
        await rest()
        assert codes(transport) == [b"COMPLETE"]
        assert member.ran == [("petrelhaven", "PUT a 1")]

    on_the_wire(scene)


# ROUTE: fleets without tenants start to ask for keys; passes before the fix, and must go on to.
def test_without_a_tenants_section_any_client_is_accepted_under_the_system_name():
    async def scene(door, member):
        for who in (b" me", b" ", b"", b" two words", b" \xff"):
            member.ran.clear()
            _, transport = door.client(b"CONNECT db" + who + b"\r\n" + said("PUT a 1"))
            await rest()
            assert codes(transport) == [b"COMPLETE"] and not transport.closed, who
            assert member.ran == [("petrelhaven", "PUT a 1")], who
            assert member.names_heard() == {"petrelhaven"}, who

    on_the_wire(scene, CONFIG)
