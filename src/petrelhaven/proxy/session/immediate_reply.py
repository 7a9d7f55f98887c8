"""Handles statements that need no member: SET, PREPARE, DEALLOC, BEGIN, ROLLBACK."""

from __future__ import annotations

from typing import TYPE_CHECKING

from petrelhaven.proxy.session.client_session import FAILED, IDLE, Transaction
from petrelhaven.proxy.session.statement import Reply

if TYPE_CHECKING:
    from petrelhaven.proxy.routing.interfaces import ProxyServices
    from petrelhaven.proxy.routing.transaction_path import TransactionPath
    from petrelhaven.proxy.session.client_session import ClientSession
    from petrelhaven.proxy.session.statement import Statement

__all__ = ["reply_without_member"]


def reply_without_member(
    proxy: ProxyServices,
    transactions: TransactionPath,
    session: ClientSession,
    statement: Statement,
) -> Reply | None:
    """Returns the reply to a statement that needs no member, or None if it needs one."""
    verb = statement.verb
    if verb == "rollback":
        if session.state != IDLE:
            transactions.release_transaction(session, statement.number)
            session.end_transaction()
        return Reply()
    if session.state == FAILED:
        return _reply_in_failed_transaction(transactions, session, verb)
    if verb == "begin":
        return _begin(proxy, session, statement)
    if verb in ("set", "prepare", "forget"):
        _change_session(session, statement)
        return Reply(state=session.wire_state)
    return _reply_if_misplaced(session, statement)


def _reply_in_failed_transaction(
    transactions: TransactionPath, session: ClientSession, verb: str
) -> Reply:
    if verb != "commit":
        return Reply(code="malformed", text="the transaction has failed; end it", state="E")
    transactions.release_transaction(session)
    session.end_transaction()
    return Reply(code="aborted", text="the transaction had failed; nothing of it is kept")


def _reply_if_misplaced(session: ClientSession, statement: Statement) -> Reply | None:
    if statement.verb == "execute" and statement.name not in session.prepared:
        if session.transaction is not None:
            session.fail_transaction()
        return Reply(code="unprepared", text="no such prepared name", state=session.wire_state)
    if statement.verb == "commit" and session.transaction is None:
        return Reply(code="malformed", text="no transaction is open")
    return None


def _begin(proxy: ProxyServices, session: ClientSession, statement: Statement) -> Reply:
    if session.transaction is not None:
        return Reply(code="malformed", text="a transaction is open", state=session.wire_state)
    session.begin()
    session.transaction = Transaction(
        statement.number,
        not statement.writes,
        proxy.logical_clock.next_timestamp(),
        proxy.clock.now(),
        proxy.routes.get(session.host),
    )
    return Reply(state=session.wire_state)


def _change_session(session: ClientSession, statement: Statement) -> None:
    if statement.verb == "set":
        session.values[statement.name] = statement.data
        session.statement_numbers[statement.name] = statement.number
        if session.transaction is not None:
            session.transaction.has_set_values = True
    elif statement.verb == "prepare":
        session.prepared[statement.name] = statement.prepared_text
        session.statement_numbers["", statement.name] = statement.number
    else:
        session.prepared.pop(statement.name, None)
