"""Observes all control nodes of the model and checks the invariants."""

import json

from petrelhaven.control.consensus.chain import MAX_CLOCK_RATE_RATIO

__all__ = ["Observer"]

_CONFIRMATION_SLACK_S = 0.002


def _text(document):
    return json.dumps(document, sort_keys=True)


class Observer:
    """Observes the control nodes from outside.

    Attributes:
        broken: The first violation of each invariant, by the name of the invariant.
        views: The text of each adopted view, by view number.
        committed: Number of the newest record that any node committed.
        fences: For each fencing token: the node that used it, the use, and the time.
    """

    def __init__(self, loop):
        self.loop = loop
        self.broken = {}
        self._confirmations = {}
        self._promised = {}
        self._accepted = {}
        self._voters = {}
        self.views = {}
        self._committed_before = {}
        self._records = {}
        self._states = {}
        self._checked = {}
        self.committed = 0
        self._versions = {}
        self.fences = {}

    def report(self, invariant, detail):
        """Records the violation of an invariant."""
        self.broken.setdefault(invariant, f"at {self.loop.time():.3f} s: {detail}")

    def attach(self, machine):
        """Intercepts the calls to a control node that has just started."""
        node = machine.node
        handlers = node.link.handlers
        self._checked[machine.name] = 0
        for kind, check in (
            ("vote.prepare", self._check_promise),
            ("vote.accept", self._check_acceptance),
            ("view.confirm", self._record_confirmation),
        ):
            handlers[kind] = self._observed_handler(handlers[kind], check, node)
        node.chain.on_view.append(lambda: self._check_view(node))
        node.chain.on_commit.append(lambda: self._check_commit(node))
        node.chain.read_control_state = self._observed_read(node, node.chain.read_control_state)
        node.chain.append_record = self._observed_append(node, node.chain.append_record)

    @staticmethod
    def _observed_handler(handler, check, node):
        async def observed(channel, body):
            answer = await handler(channel, body)
            check(node, body, answer)
            return answer

        return observed

    def _observed_read(self, node, read):
        def observed():
            document = read()
            self.check_confirmation(node, "served a read")
            return document

        return observed

    def _observed_append(self, node, append):
        async def observed(*args, **kwargs):
            seq = await append(*args, **kwargs)
            self.check_confirmation(node, "acknowledged a record")
            committed = self._records.get(seq)
            if committed is not None and committed != _text(args[0]):
                invariant = "the record acknowledged with a number is the one committed with it"
                self.report(invariant, f"{node.name}, {seq}: {args[0]} and {committed[-200:]}")
            return seq

        return observed

    # The view register

    def _check_promise(self, node, body, answer):
        if not answer["ok"]:
            return
        self._check_identity(node, body)
        disk, ballot = node.store.disk_id, (body["num"], body["who"])
        if ballot <= self._promised.get(disk, (0, "")):
            self.report("a vote is never forgotten", f"{node.name} promised {ballot} again")
        self._promised[disk] = ballot
        accepted = self._accepted.get(disk)
        if accepted is not None and (answer["num"], answer["who"]) < accepted:
            self.report("a vote is never forgotten", f"{node.name} does not answer {accepted}")

    def _check_acceptance(self, node, body, answer):
        if not answer["ok"]:
            return
        self._check_identity(node, body)
        disk, ballot = node.store.disk_id, (body["num"], body["who"])
        if ballot < self._promised.get(disk, (0, "")):
            self.report("a vote is never forgotten", f"{node.name} accepted {ballot} below promise")
        self._promised[disk] = self._accepted[disk] = ballot
        voters = self._voters.setdefault((ballot, _text(body["value"]), _text(body["ids"])), set())
        voters.add(disk)

    def _check_identity(self, node, body):
        if body["ids"].get(node.name) != node.store.disk_id:
            self.report("no vote under an unknown identity", f"{node.name} in {body['ids']}")

    def _is_decided(self, text):
        return any(
            value == text and len(voters) > len(json.loads(members)) // 2
            for (_, value, members), voters in self._voters.items()
        )

    def _check_view(self, node):
        view = node.chain.view
        text = _text(view.to_document())
        if self.views.setdefault(view.number, text) != text:
            self.report("one view per number", f"{node.name}: {text} and {self.views[view.number]}")
        if view.number not in self._committed_before:
            self._committed_before[view.number] = self.committed
            if not self._is_decided(text):
                self.report("a majority decides a view", f"{node.name}: {text}")
            self._check_members(view)

    def _check_members(self, view):
        """Checks that every majority of the members before and after includes a node that accepted the view."""
        former = self.views.get(view.number - 1)
        if former is None:
            return
        accepted = self._acceptors(_text(view.to_document()))
        for members in (json.loads(former)["ids"], view.members):
            without = sum(disk not in accepted for disk in members.values())
            if without > len(members) // 2:
                self.report(
                    "majorities before and after a change intersect", f"{former} and {view}"
                )

    def _acceptors(self, text):
        """The disks that accepted a view with the ballot that most of them accepted."""
        return max(
            (voters for (_, value, _), voters in self._voters.items() if value == text),
            key=len,
            default=set(),
        )

    # The chain

    def _record_confirmation(self, node, body, answer):
        if answer["ok"]:
            self._confirmations[body["name"], node.name] = (self.loop.time(), body["n"])

    def check_confirmation(self, node, action):
        """Checks that a majority recently confirmed the view of a node that serves a read or acknowledges.

        The time is that of the simulation, not that of the node's clock. A confirmation of an older view
        counts: it shows that the voter had not accepted a newer one by then.
        """
        view = node.chain.view
        if view is None:
            return self.report(
                "nodes act only with a recent confirmation by a majority",
                f"{node.name} {action}, no view",
            )
        since = (
            self.loop.time()
            - node.chain.confirmation_validity_us * MAX_CLOCK_RATE_RATIO / 1e6
            - _CONFIRMATION_SLACK_S
        )
        confirming = [
            name
            for name in view.members
            if name == node.name
            or self._confirmations.get((node.name, name), (-1.0, 0))[0] >= since
            and self._confirmations[node.name, name][1] <= view.number
        ]
        if len(confirming) <= len(view.members) // 2:
            self.report(
                "nodes act only with a recent confirmation by a majority",
                f"{node.name} {action} in view {view.number} of {sorted(view.members)}, confirmed by {confirming}",
            )
        return None

    def _check_commit(self, node):
        chain, recent = node.chain, node.store.recent_records
        for seq, _, record in recent:
            if self._checked[node.name] < seq <= chain.committed_seq:
                self._check_same(
                    self._records, seq, _text(record), "one record per number", node.name
                )
                self._check_version(seq, record)
        if chain.committed_seq == chain.control_state.seq:
            state = _text(chain.control_state.snapshot())
            self._check_same(
                self._states, chain.committed_seq, state, "one state per number", node.name
            )
        self._checked[node.name] = max(self._checked[node.name], chain.committed_seq)
        self.committed = max(self.committed, chain.committed_seq)

    def _check_version(self, seq, record):
        if record["t"] != "manifest":
            return
        version = record["version"]
        if self._versions.setdefault(version, seq) != seq:
            self.report(
                "an order is applied once", f"{version}: {seq} and {self._versions[version]}"
            )
        if any(
            other_seq < seq and other > version or other_seq > seq and other < version
            for other, other_seq in self._versions.items()
        ):
            self.report("versions increase", f"{version} as {seq}: {self._versions}")

    def _check_same(self, known, key, text, invariant, name):
        if known.setdefault(key, text) != text:
            self.report(invariant, f"{name}, {key}: {text[-200:]} and {known[key][-200:]}")

    def check_nodes(self, machines):
        """Checks the invariants that all running nodes must satisfy at any time."""
        running = [
            machine.node
            for machine in machines
            if machine.up and not machine.frozen and machine.node is not None
        ]
        active = [node for node in running if node.chain.is_active]
        newest = max((node.chain.view.number for node in active), default=0)
        for node in active:
            self.check_confirmation(node, "is active")
        for node in running:
            chain = node.chain
            if chain.is_confirmed and chain.view.number < newest:
                self.report(
                    "no node is confirmed in an older view while another is active",
                    f"{node.name} in view {chain.view.number}, one active in {newest}",
                )
            if chain.is_complete and chain.control_state.seq < self._committed_before.get(
                chain.view.number, 0
            ):
                self.report(
                    "a complete node has all records committed before its view",
                    f"{node.name} has {chain.control_state.seq} of {self._committed_before[chain.view.number]}",
                )

    def record_fence(self, seq, holder, started_at, use):
        """Checks the number of a record that an active head is about to use as a fencing token."""
        other = self.fences.setdefault(seq, (holder, use, self.loop.time()))
        if other[:2] != (holder, use):
            self.report("one holder per fencing token", f"{seq}: {other[0]} and {holder}")
        later = [
            token for token, (_, _, at) in self.fences.items() if at < started_at and token >= seq
        ]
        if later:
            self.report("fencing tokens increase", f"{seq} at {holder} after {later}")
