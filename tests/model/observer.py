"""What the model sees of every core, and the invariants checked on it at each turn."""

import json

from petrelhaven.control.consensus.chain import MAX_CLOCK_RATE_RATIO

__all__ = ["Observer"]

_WORD_SLACK_S = 0.002


def _text(document):
    return json.dumps(document, sort_keys=True)


class Observer:
    """Watches the cores from outside; `broken` lists each invariant seen violated, once."""

    def __init__(self, loop):
        self.loop = loop
        self.broken = {}
        self._words = {}
        self._promised = {}
        self._accepted = {}
        self._accepts = {}
        self.views = {}
        self._floor = {}
        self._records = {}
        self._states = {}
        self._checked = {}
        self.committed = 0
        self._versions = {}
        self.fences = {}

    def report(self, rule, detail):
        """Notes a violated invariant."""
        self.broken.setdefault(rule, f"at {self.loop.time():.3f} s: {detail}")

    def attach(self, machine):
        """Puts the observer between a core that was just started and its callers."""
        node = machine.node
        handlers = node.link.handlers
        self._checked[machine.name] = 0
        for kind, check in (
            ("vote.prepare", self._prepared),
            ("vote.accept", self._accepted_value),
            ("view.confirm", self._confirmed),
        ):
            handlers[kind] = self._watched(handlers[kind], check, node)
        node.chain.on_view.append(lambda: self._viewed(node))
        node.chain.on_commit.append(lambda: self._committed(node))
        node.chain.read_control_state = self._read_watched(node, node.chain.read_control_state)
        node.chain.append_record = self._enter_watched(node, node.chain.append_record)

    @staticmethod
    def _watched(handler, check, node):
        async def watched(channel, body):
            answer = await handler(channel, body)
            check(node, body, answer)
            return answer

        return watched

    def _read_watched(self, node, read):
        def watched():
            document = read()
            self.check_word(node, "served a read")
            return document

        return watched

    def _enter_watched(self, node, enter):
        async def watched(*args, **kwargs):
            seq = await enter(*args, **kwargs)
            self.check_word(node, "confirmed an order")
            committed = self._records.get(seq)
            if committed is not None and committed != _text(args[0]):
                rule = "what is confirmed under a number is its record"
                self.report(rule, f"{node.name}, {seq}: {args[0]} and {committed[-200:]}")
            return seq

        return watched

    # the register

    def _prepared(self, node, body, answer):
        if not answer["ok"]:
            return
        self._check_identity(node, body)
        disk, ballot = node.store.disk_id, (body["num"], body["who"])
        if ballot <= self._promised.get(disk, (0, "")):
            self.report("a vote is never forgotten", f"{node.name} promised {ballot} again")
        self._promised[disk] = ballot
        kept = self._accepted.get(disk)
        if kept is not None and (answer["num"], answer["who"]) < kept:
            self.report("a vote is never forgotten", f"{node.name} does not tell of {kept}")

    def _accepted_value(self, node, body, answer):
        if not answer["ok"]:
            return
        self._check_identity(node, body)
        disk, ballot = node.store.disk_id, (body["num"], body["who"])
        if ballot < self._promised.get(disk, (0, "")):
            self.report("a vote is never forgotten", f"{node.name} accepted {ballot} below promise")
        self._promised[disk] = self._accepted[disk] = ballot
        voters = self._accepts.setdefault((ballot, _text(body["value"]), _text(body["ids"])), set())
        voters.add(disk)

    def _check_identity(self, node, body):
        if body["ids"].get(node.name) != node.store.disk_id:
            self.report("no vote under an unknown identity", f"{node.name} in {body['ids']}")

    def _decided(self, text):
        return any(
            value == text and len(voters) > len(json.loads(ids)) // 2
            for (_, value, ids), voters in self._accepts.items()
        )

    def _viewed(self, node):
        view = node.chain.view
        text = _text(view.to_document())
        if self.views.setdefault(view.number, text) != text:
            self.report("one view a number", f"{node.name}: {text} and {self.views[view.number]}")
        if view.number not in self._floor:
            self._floor[view.number] = self.committed
            if not self._decided(text):
                self.report("a majority decides a view", f"{node.name}: {text}")
            self._check_members(view)

    def _check_members(self, view):
        """Every majority of the members before, and of those after, has one that accepted the view."""
        former = self.views.get(view.number - 1)
        if former is None:
            return
        accepted = self._acceptors(_text(view.to_document()))
        for ids in (json.loads(former)["ids"], view.members):
            without = sum(disk not in accepted for disk in ids.values())
            if without > len(ids) // 2:
                self.report("majorities before and after a change meet", f"{former} and {view}")

    def _acceptors(self, text):
        """The disks that accepted a view under the ballot by which most did."""
        return max(
            (voters for (_, value, _), voters in self._accepts.items() if value == text),
            key=len,
            default=set(),
        )

    # the chain

    def _confirmed(self, node, body, answer):
        if answer["ok"]:
            self._words[body["name"], node.name] = (self.loop.time(), body["n"])

    def check_word(self, node, what):
        """Whoever serves or confirms has the word of a majority within the bound, whatever its clock says.

        A word for an older view counts: it says that nothing newer was accepted by then.
        """
        view = node.chain.view
        if view is None:
            return self.report("a majority's word within its bound", f"{node.name} {what}, no view")
        since = (
            self.loop.time()
            - node.chain.confirmation_validity_us * MAX_CLOCK_RATE_RATIO / 1e6
            - _WORD_SLACK_S
        )
        speakers = [
            name
            for name in view.members
            if name == node.name
            or self._words.get((node.name, name), (-1.0, 0))[0] >= since
            and self._words[node.name, name][1] <= view.number
        ]
        if len(speakers) <= len(view.members) // 2:
            self.report(
                "a majority's word within its bound",
                f"{node.name} {what} in view {view.number} of {sorted(view.members)} on the word of {speakers}",
            )
        return None

    def _committed(self, node):
        chain, recent = node.chain, node.store.recent_records
        for seq, _, record in recent:
            if self._checked[node.name] < seq <= chain.committed_seq:
                self._same(self._records, seq, _text(record), "one record a number", node.name)
                self._check_version(seq, record)
        if chain.committed_seq == chain.control_state.seq:
            state = _text(chain.control_state.snapshot())
            self._same(self._states, chain.committed_seq, state, "one state a number", node.name)
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
            s < seq and v > version or s > seq and v < version for v, s in self._versions.items()
        ):
            self.report("versions rise", f"{version} as {seq}: {self._versions}")

    def _same(self, known, key, text, rule, name):
        if known.setdefault(key, text) != text:
            self.report(rule, f"{name}, {key}: {text[-200:]} and {known[key][-200:]}")

    def turn(self, machines):
        """Checks what must hold at any moment of all cores that run."""
        running = [b.node for b in machines if b.up and not b.frozen and b.node is not None]
        active = [n for n in running if n.chain.is_active]
        newest = max((n.chain.view.number for n in active), default=0)
        for node in active:
            self.check_word(node, "is active")
        for node in running:
            chain = node.chain
            if chain.is_confirmed and chain.view.number < newest:
                self.report(
                    "no core rules an older view beside an active one",
                    f"{node.name} in view {chain.view.number}, one active in {newest}",
                )
            if chain.is_complete and chain.control_state.seq < self._floor.get(
                chain.view.number, 0
            ):
                self.report(
                    "a complete core holds all that was committed before its view",
                    f"{node.name} holds {chain.control_state.seq} of {self._floor[chain.view.number]}",
                )

    def fence(self, seq, holder, begun, token):
        """An active head is about to use the number of its record as a fence."""
        other = self.fences.setdefault(seq, (holder, token, self.loop.time()))
        if other[:2] != (holder, token):
            self.report("one holder a fence", f"{seq}: {other[0]} and {holder}")
        later = [s for s, (_, _, at) in self.fences.items() if at < begun and s >= seq]
        if later:
            self.report("a fence rises", f"{seq} at {holder} after {later}")
