"""The stand-in member's store: what a change of role does to open transactions."""

import random
import types

import pytest

from petrelhaven.emulator.store import Store

PUT = {"v": "put", "key": "k", "value": 1}


def primary_in_a_transaction():
    """A primary of term 1 with one connection, whose transaction is open; (store, connection)."""
    clock = types.SimpleNamespace(now=lambda: 0)
    store = Store(clock, "m1", "g1", "a", "primary", 10, random.Random(1))
    connection = store.open("proxy")
    assert store.run(connection, [{"v": "begin", "mode": "write"}, PUT])[-1] == {"value": 1}
    return store, connection


def test_promoting_the_primary_in_leadership_again_changes_nothing():
    """A call that is repeated, or late, must not end what goes on."""
    store, connection = primary_in_a_transaction()
    store.promote(1)
    assert store.run(connection, [{"v": "commit"}])[0]["pos"] == 1
    assert store.data == {"k": 1}


@pytest.mark.parametrize("back", [False, True])
def test_after_a_change_of_role_no_statement_of_the_transaction_runs_outside_it(back):
    store, connection = primary_in_a_transaction()
    store.follow("m2", 2)
    if back:
        store.promote(3)
    assert store.run(connection, [PUT]) == [{"fault": "NOCONN"}]
    assert store.run(connection, [{"v": "commit"}]) == [{"fault": "NOCONN"}]
    assert store.data == {}


def test_a_connection_without_a_transaction_outlives_a_change_of_role():
    store, _ = primary_in_a_transaction()
    idle = store.open("proxy")
    store.follow("m2", 2)
    store.promote(3)
    assert "fault" not in store.run(idle, [PUT])[0]
