"""Mutants of the control nodes: each one removes one safeguard, which test_control_model.py must detect."""

import petrelhaven.control.consensus.chain as chain
import petrelhaven.control.consensus.confirmation as confirmation
import petrelhaven.control.consensus.member_maintenance as member_maintenance
import petrelhaven.control.consensus.register as register
from petrelhaven.control.state import control_state as control_state
from petrelhaven.control.storage import documents, node_store
from petrelhaven.runtime.errors import NotReady


def vote_not_stored(monkeypatch):
    def save_vote(self, done=None, **changes):
        self.vote = {**self.vote, **changes}
        self.complete_view = self.complete_view if done is None else done

    monkeypatch.setattr(node_store.ControlNodeStore, "save_vote", save_vote)


def votes_under_any_identity(monkeypatch):
    monkeypatch.setattr(register.Voter, "_fits", lambda self, members: True)


def promise_ignored(monkeypatch):
    real = register.Voter.accept

    async def accept(self, channel, body):
        vote = self._store.vote
        if body["num"] < vote["num"]:
            self._store.vote = {**vote, "num": body["num"], "who": body["who"]}
        return await real(self, channel, body)

    monkeypatch.setattr(register.Voter, "accept", accept)


def minority_decides(monkeypatch):
    real = register.Proposer._run_phase

    async def run_phase(self, members, kind, body, parse, is_enough):
        answers = await real(self, members, kind, body, parse, is_enough)
        missing = parse({"ok": True, "num": 0, "who": "", "value": None, "seen": 0})
        return {**dict.fromkeys(members, missing), **answers}

    monkeypatch.setattr(register.Proposer, "_run_phase", run_phase)


def confirmed_without_majority(monkeypatch):
    def update_validity(self, view):
        latest = max(self._confirmed_at.get(name, 0) for name in view.members)
        self.valid_until_us = max(self.valid_until_us, latest + self._validity_us)

    monkeypatch.setattr(confirmation.Confirmation, "_update_validity", update_validity)


def confirms_an_older_view(monkeypatch):
    real = confirmation.Confirmation.handle_confirm

    async def handle_confirm(self, channel, body):
        return {**await real(self, channel, body), "ok": True, "view": None}

    monkeypatch.setattr(confirmation.Confirmation, "handle_confirm", handle_confirm)


def tail_reads_while_not_active(monkeypatch):
    def read_control_state(self):
        if not self.is_tail:
            raise NotReady("not the tail")
        return self.control_state.doc

    monkeypatch.setattr(chain.Chain, "read_control_state", read_control_state)


def complete_without_handover(monkeypatch):
    monkeypatch.setattr(
        chain.Chain,
        "is_complete",
        property(lambda self: self.view is not None and self._position() is not None),
    )


def former_views_not_awaited(monkeypatch):
    real = chain.Chain.adopt

    def adopt(self, view):
        real(self, view)
        self.active_at_us = 0

    monkeypatch.setattr(chain.Chain, "adopt", adopt)


def any_report_ends_the_wait(monkeypatch):
    def on_report(self):
        chain = self._node.chain
        if chain.view is None:
            return
        reports = (
            report for at, report in self._reports.values() if report and at >= chain.adopted_at_us
        )
        if any(report.name != self._node.name for report in reports):
            chain.active_at_us = self._node.clock.now()

    monkeypatch.setattr(member_maintenance.MemberMaintenance, "on_report", on_report)


def swap_decided_by_any_majority(monkeypatch):
    """Counts the vote of a member that the view replaces, even if no other voter has accepted the view."""

    def majority_before(voters, before, after):
        return len(set(voters) & set(before)) > len(before) // 2

    monkeypatch.setattr(register, "is_joint_quorum", majority_before)


def acknowledged_before_commit(monkeypatch):
    async def wait_committed(self, seq, view_number):
        return

    monkeypatch.setattr(chain.Chain, "wait_committed", wait_committed)


def records_not_synced(monkeypatch):
    real = node_store.ControlNodeStore._write_entry
    monkeypatch.setattr(
        node_store.ControlNodeStore,
        "_write_entry",
        lambda self, entry: None if isinstance(entry, documents.ChainRecord) else real(self, entry),
    )


def reset_without_snapshot(monkeypatch):
    def reset(self, control_state, entered_view):
        self.entered_view = entered_view

    monkeypatch.setattr(node_store.ControlNodeStore, "reset", reset)


def reset_not_synced(monkeypatch):
    def reset(self, control_state, entered_view):
        self._replace_state(self._make_control_state(control_state), entered_view)

    monkeypatch.setattr(node_store.ControlNodeStore, "reset", reset)


def versions_not_checked(monkeypatch):
    monkeypatch.setattr(
        control_state.ControlState, "_check_configuration", lambda self, record: None
    )


def fence_before_commit(monkeypatch):
    real = chain.Chain.append_record

    async def append_record(self, record, *args):
        if record["t"] != "office" or not (self.is_head and self.is_active):
            return await real(self, record, *args)
        self.tasks.spawn(real(self, record, *args))
        return self.control_state.seq + 1

    monkeypatch.setattr(chain.Chain, "append_record", append_record)


__all__ = [
    name
    for name, value in list(globals().items())
    if callable(value) and getattr(value, "__module__", "") == __name__
]
