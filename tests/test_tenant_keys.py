"""Authentication by tenant keys: which clients are accepted, and what members receive.

The proxy, the client connections and the member connections are the shipped ones. The member is
scripted and records what it receives.
"""

import asyncio
import hashlib

import pytest
from proxy_harness import (
    CONFIG,
    FakeTransport,
    queries,
    replies,
    run_on_proxy,
    settle,
)

from member_connections import LineProtocolConnector  # isort: skip

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
    """One connection to the scripted member: records its client name and answers each line."""

    def __init__(self, member, protocol):
        super().__init__()
        self.member, self.front, self.client, self._state = member, protocol, None, "I"

    def write(self, data):
        super().write(data)
        *lines, incomplete = data.decode("utf-8", "surrogateescape").split("\r\n")
        assert not incomplete, "the proxy must write complete lines"
        for line in lines:
            answer = self._answer(line).encode("utf-8", "surrogateescape")
            asyncio.get_running_loop().call_soon(self.front.data_received, answer)

    def _answer(self, line):
        keyword, _, fields = line.partition(" ")
        if keyword == "CONNECT":
            service, self.client, member_id = fields.split(" ")
            assert (service, member_id) == ("svc", "m1")
            return f"READY I {_POSITION}\r\n"
        number, _, text = fields.partition(" ")
        if number != "-":
            self.member.statements.append((self.client, text))
        if text.split(" ")[0] in ("BEGIN", "COMMIT", "ROLLBACK"):
            self._state = "T" if text.startswith("BEGIN") else "I"
        row = f"ROW primary 1 {_POSITION} 0 0 0 1\r\n" if text == "STATUS" else ""
        return f"{row}COMPLETE stamp\r\nREADY {self._state} {_POSITION}\r\n"


class ScriptedMember:
    """A member that records each client statement in `statements`, as (client name, text)."""

    def __init__(self):
        self.statements, self.connections = [], []

    async def connect(self, protocol_factory, host, port, **_options):
        protocol = protocol_factory()
        transport = MemberTransport(self, protocol)
        self.connections.append(transport)
        protocol.connection_made(transport)
        return transport, protocol

    def received_names(self):
        return {transport.client for transport in self.connections}

    def received_bytes(self):
        """Returns all bytes that its connections received."""
        return b"".join(transport.out for transport in self.connections)


def run_with_scripted_member(scenario, configuration=KEYED):
    """Runs `scenario(harness, member)`; the proxy starts with `configuration`, if not None."""

    async def run_scenario(harness):
        member = ScriptedMember()
        harness.proxy.wire = LineProtocolConnector(harness.clock)
        asyncio.get_running_loop().create_connection = member.connect
        if configuration is not None:
            harness.configure(configuration)
        return await scenario(harness, member)

    return run_on_proxy(run_scenario, leave_starting=True)


def connect(client, database=b"db"):
    return b"CONNECT " + database + b" " + client + b"\r\n"


def assert_denied(harness, member, transport):
    assert transport.out.startswith(b"ERROR DENIED "), transport.out
    assert transport.out.count(b"\r\n") == 1 and transport.closed
    assert not harness.proxy.sessions and not harness.clients
    assert member.statements == []


def reply_codes(transport):
    """Returns the code that ended each statement: COMPLETE or an error code."""
    return [end.split(b" ")[0 if end[:1] == b"C" else 1] for _, end, _ in replies(transport.out)[0]]


INVALID_KEYS = {
    "unknown": connect(b"stranger"),
    "no field": b"CONNECT db\r\n",
    "empty field": b"CONNECT db \r\n",
    "other letter case": connect(KEY.swapcase().encode()),
    "invalid UTF-8": connect(b"\xff\xfe\x80"),
    "key and an invalid UTF-8 byte": connect(KEY.encode() + b"\xff"),
    "full digest of a key": connect(hashlib.sha256(KEY.encode()).hexdigest().encode()),
    "short digest of a key": connect(hashlib.sha256(KEY.encode()).hexdigest()[:32].encode()),
    "name of a tenant": connect(b"school"),
    "name of a tenant without keys": connect(b"keyless"),
    "system name": connect(b"petrelhaven"),
    "prefix of a key": connect(KEY[:-1].encode()),
    "key with a suffix": connect(KEY.encode() + b"x"),
    "key and a tab": connect(KEY.encode() + b"\t"),
    "key and a NUL": connect(KEY.encode() + b"\0"),
}
# The last field extends to the end of the line (page PROTOCOL).
KEYS_WITH_BLANKS = {
    "key, blank and text": connect(KEY.encode() + b" more"),
    "key and a blank": connect(KEY.encode() + b" "),
    "blank and key": connect(b" " + KEY.encode()),
    "two keys": connect(KEY.encode() + b" " + OTHER_KEY.encode()),
}


async def check_denied_client(harness, member, first):
    _, transport = harness.client(first + queries("PUT a 1", "BEGIN", "FETCH a", "COMMIT"))
    await settle()
    assert_denied(harness, member, transport)


# Guards against ROUTE: a client without a valid key is accepted, or its statements run at a member.
@pytest.mark.parametrize("name", INVALID_KEYS)
def test_an_invalid_key_is_denied_and_nothing_reaches_a_member(name):
    run_with_scripted_member(
        lambda harness, member: check_denied_client(harness, member, INVALID_KEYS[name])
    )


# Guards against ROUTE: only the part of the last field before a blank is compared with the keys.
@pytest.mark.parametrize("name", KEYS_WITH_BLANKS)
def test_a_key_with_a_blank_before_or_after_it_is_denied(name):
    run_with_scripted_member(
        lambda harness, member: check_denied_client(harness, member, KEYS_WITH_BLANKS[name])
    )


# Guards against ROUTE: tenants without keys, or an empty tenants section, count as no section.
@pytest.mark.parametrize(
    "tenants",
    [[], [{"Name": "keyless"}], [{"Name": "keyless", "ApiKeys": []}]],
    ids=["no tenants", "no list of keys", "empty list of keys"],
)
def test_without_any_configured_key_every_client_is_denied(tenants):
    async def scenario(harness, member):
        for client in (b" me", b" ", b"", b" keyless"):
            _, transport = harness.client(b"CONNECT db" + client + b"\r\n" + queries("PUT a 1"))
            await settle()
            assert_denied(harness, member, transport)

    run_with_scripted_member(scenario, {**CONFIG, "Tenants": tenants})


# Guards against ROUTE: the proxy keeps reading a denied connection and runs what arrives later.
@pytest.mark.parametrize("piece", [1, 7, 19])
def test_statements_sent_with_a_denied_connect_do_not_run(piece):
    async def scenario(harness, member):
        client, transport = harness.client(None)
        raw = connect(b"stranger") + queries("PUT a 1", "FETCH a") + connect(KEY.encode())
        for at in range(0, len(raw), piece):
            client.data_received(raw[at : at + piece])
        client.data_received(queries("PUT b 1"))
        await settle()
        assert_denied(harness, member, transport)

    run_with_scripted_member(scenario)


# Guards against ROUTE: the key is checked before the database, so a wrong database gets DENIED.
@pytest.mark.parametrize("configuration", [KEYED, PUBLIC], ids=["keyed", "public"])
def test_an_unknown_database_is_reported_before_an_unknown_key(configuration):
    async def scenario(harness, member):
        for database in (b"nowhere", b"", b"DB"):
            for client in (KEY.encode(), b"stranger", b""):
                _, transport = harness.client(connect(client, database) + queries("PUT a 1"))
                await settle()
                assert transport.out.startswith(b"ERROR NODB "), (database, client, transport.out)
                assert transport.out.count(b"\r\n") == 1 and transport.closed
                assert not harness.proxy.sessions and member.statements == []

    run_with_scripted_member(scenario, configuration)


# Guards against ROUTE: a valid key is denied or runs for another tenant, or a member receives it.
@pytest.mark.parametrize("configuration", [KEYED, PUBLIC], ids=["keyed", "public"])
def test_a_key_runs_statements_as_its_tenant_and_members_never_receive_the_key(configuration):
    async def scenario(harness, member):
        for key, name in (
            (KEY, "school"),
            (OTHER_KEY, "Böse-Agentur"),
            ("key-three", "Böse-Agentur"),
        ):
            count_before = len(member.statements)
            _, transport = harness.client(
                connect(key.encode()) + queries("PUT a 1", "BEGIN", "PUT a 2", "COMMIT")
            )
            await settle()
            assert reply_codes(transport) == [b"COMPLETE"] * 4 and not transport.closed
            assert {client for client, _ in member.statements[count_before:]} == {name}
            assert key.encode() not in member.received_bytes()

    run_with_scripted_member(scenario, configuration)


# Guards against ROUTE: a public route requires a key, or passes the client's key to members.
def test_a_public_route_accepts_any_client_and_members_receive_the_system_name():
    async def scenario(harness, member):
        for name, first in {**INVALID_KEYS, **KEYS_WITH_BLANKS}.items():
            member.statements.clear()
            _, transport = harness.client(first + queries("PUT a 1"))
            await settle()
            assert reply_codes(transport) == [b"COMPLETE"] and not transport.closed, name
            assert member.statements == [("petrelhaven", "PUT a 1")], name
            assert member.received_names() == {"petrelhaven"}, name

    run_with_scripted_member(scenario, PUBLIC)


# Guards against ROUTE: a proxy that has just started runs statements before it has any keys.
def test_no_statement_runs_before_the_first_configuration():
    async def scenario(harness, member):
        for client in (KEY.encode(), b"stranger", b""):
            _, transport = harness.client(connect(client) + queries("PUT a 1"))
            await settle()
            assert transport.out.startswith(b"ERROR BUSY ") and transport.closed, client
            assert member.statements == [] and not harness.proxy.sessions, client

    run_with_scripted_member(scenario, None)


# Guards against ROUTE: the first configuration accepts a waiting client without checking its key.
def test_clients_that_connect_before_the_first_configuration_need_a_key():
    async def scenario(harness, member):
        _, stranger = harness.client(connect(b"stranger") + queries("PUT a 1"))
        _, known = harness.client(connect(KEY.encode()) + queries("PUT a 2"))
        await settle(0.5)
        assert stranger.out == known.out == b"" and member.statements == []
        harness.configure(KEYED)
        await settle()
        assert stranger.out.startswith(b"ERROR DENIED ") and stranger.closed
        assert stranger.out.count(b"\r\n") == 1
        assert reply_codes(known) == [b"COMPLETE"] and member.statements == [("school", "PUT a 2")]

    run_with_scripted_member(scenario, None)


# Guards against ROUTE: sessions opened while no key was required continue without one.
@pytest.mark.parametrize("before", [CONFIG, PUBLIC], ids=["no section", "public"])
def test_a_session_without_a_key_is_denied_once_keys_are_required(before):
    async def scenario(harness, member):
        client, transport = harness.client(connect(b"stranger"))
        key_client, key_transport = harness.client(connect(KEY.encode()))
        client.data_received(queries("PUT a 1"))
        await settle()
        harness.configure({**KEYED, "Revision": 2})
        count_before = len(member.statements)
        client.data_received(queries("PUT a 2", "FETCH a"))
        key_client.data_received(queries("PUT a 3"))
        await settle()
        assert (
            reply_codes(transport)[0] == b"COMPLETE"
            and b"COMPLETE" not in reply_codes(transport)[1:]
        )
        assert reply_codes(transport)[1] == b"DENIED"
        assert reply_codes(key_transport) == [b"COMPLETE"]
        assert member.statements[count_before:] == [("school", "PUT a 3")]

    run_with_scripted_member(scenario, before)


# Guards against ROUTE: a client is still refused after keys are no longer required.
@pytest.mark.parametrize("after", [CONFIG, PUBLIC], ids=["no section", "public"])
def test_any_client_is_accepted_once_no_key_is_required(after):
    async def scenario(harness, member):
        _, refused = harness.client(connect(b"stranger") + queries("PUT a 1"))
        await settle()
        assert_denied(harness, member, refused)
        harness.configure({**after, "Revision": 2})
        _, transport = harness.client(connect(b"stranger") + queries("PUT a 1"))
        await settle()
        assert reply_codes(transport) == [b"COMPLETE"]
        assert member.statements == [("petrelhaven", "PUT a 1")]

    run_with_scripted_member(scenario)


# Guards against ROUTE: fleets without tenants start to require keys. This also passed without the
# feature, and must continue to.
def test_without_a_tenants_section_any_client_is_accepted_under_the_system_name():
    async def scenario(harness, member):
        for client in (b" me", b" ", b"", b" two words", b" \xff"):
            member.statements.clear()
            _, transport = harness.client(b"CONNECT db" + client + b"\r\n" + queries("PUT a 1"))
            await settle()
            assert reply_codes(transport) == [b"COMPLETE"] and not transport.closed, client
            assert member.statements == [("petrelhaven", "PUT a 1")], client
            assert member.received_names() == {"petrelhaven"}, client

    run_with_scripted_member(scenario, CONFIG)
