"""Packages that have been gone through use the terms of docs/glossary.md: no withdrawn word stands in an identifier."""

import io
import keyword
import re
import tokenize
from pathlib import Path

import pytest

ROOT = Path(__file__).parent.parent

WITHDRAWN = frozenset(
    "nest hall realm manifest office seat heir told tie desk strand doubt visitor usher vault lent tide "
    "herald muster mend relic trader troop stock plight whole held kept word sight news look looked "
    "say said tell rest lull twin mute dark quiet sure floor turn mark box".split()
)

# Gone through; the list only grows. A folder stands for all that is below it.
CLEAN = (
    "src/petrelhaven/commands/control.py",
    "src/petrelhaven/commands/ctl/__main__.py",
    "src/petrelhaven/commands/ctl/command.py",
    "src/petrelhaven/commands/ctl/configuration.py",
    "src/petrelhaven/commands/ctl/nodes.py",
    "src/petrelhaven/commands/ctl/program.py",
    "src/petrelhaven/commands/diff.py",
    "src/petrelhaven/commands/proxy.py",
    "src/petrelhaven/control/configuration",
    "src/petrelhaven/control/consensus/peer_clocks.py",
    "src/petrelhaven/control/consensus/proxy_survey.py",
    "src/petrelhaven/control/consensus/reform.py",
    "src/petrelhaven/control/consensus/register.py",
    "src/petrelhaven/control/embargo",
    "src/petrelhaven/control/failover/change_steps.py",
    "src/petrelhaven/control/failover/context.py",
    "src/petrelhaven/control/failover/coordinator.py",
    "src/petrelhaven/control/failover/counting_out.py",
    "src/petrelhaven/control/failover/departures.py",
    "src/petrelhaven/control/failover/evidence.py",
    "src/petrelhaven/control/failover/failover.py",
    "src/petrelhaven/control/failover/group_members.py",
    "src/petrelhaven/control/failover/group_state.py",
    "src/petrelhaven/control/failover/heartbeats.py",
    "src/petrelhaven/control/failover/interfaces.py",
    "src/petrelhaven/control/failover/member_access.py",
    "src/petrelhaven/control/failover/observation.py",
    "src/petrelhaven/control/failover/resumption.py",
    "src/petrelhaven/control/failover/suspicions.py",
    "src/petrelhaven/control/failover/switchover.py",
    "src/petrelhaven/control/failover/wait_reasons.py",
    "src/petrelhaven/control/interface",
    "src/petrelhaven/control/leases.py",
    "src/petrelhaven/control/resumable/announcements.py",
    "src/petrelhaven/control/resumable/control_interface.py",
    "src/petrelhaven/control/resumable/control_state.py",
    "src/petrelhaven/control/resumable/duty_tasks.py",
    "src/petrelhaven/control/resumable/epoch_progress.py",
    "src/petrelhaven/control/resumable/group_observation.py",
    "src/petrelhaven/control/resumable/interfaces.py",
    "src/petrelhaven/control/resumable/leases.py",
    "src/petrelhaven/control/resumable/log_tracker.py",
    "src/petrelhaven/control/resumable/member_protocol.py",
    "src/petrelhaven/control/resumable/planning_duty.py",
    "src/petrelhaven/control/resumable/platform_client.py",
    "src/petrelhaven/control/resumable/promotion.py",
    "src/petrelhaven/control/resumable/proxy_watch.py",
    "src/petrelhaven/control/resumable/records.py",
    "src/petrelhaven/control/state/control_state.py",
    "src/petrelhaven/control/state/evidence_records.py",
    "src/petrelhaven/control/state/record.py",
    "src/petrelhaven/control/state/records.py",
    "src/petrelhaven/control/state/rows.py",
    "src/petrelhaven/control/state_push.py",
    "src/petrelhaven/control/storage/data_folder.py",
    "src/petrelhaven/control/storage/record_format.py",
    "src/petrelhaven/membership",
    "src/petrelhaven/proxy/bounds.py",
    "src/petrelhaven/proxy/core_connection.py",
    "src/petrelhaven/proxy/pool",
    "src/petrelhaven/proxy/proxy_interface.py",
    "src/petrelhaven/proxy/reads",
    "src/petrelhaven/proxy/resumable/member_protocol.py",
    "src/petrelhaven/proxy/resumable/proxy_interface.py",
    "src/petrelhaven/proxy/resumable/reads.py",
    "src/petrelhaven/proxy/routing/attempt.py",
    "src/petrelhaven/proxy/routing/base.py",
    "src/petrelhaven/proxy/routing/group.py",
    "src/petrelhaven/proxy/routing/member.py",
    "src/petrelhaven/proxy/routing/member_calls.py",
    "src/petrelhaven/proxy/routing/member_proofs.py",
    "src/petrelhaven/proxy/routing/member_wire.py",
    "src/petrelhaven/proxy/routing/outside_contact.py",
    "src/petrelhaven/proxy/routing/read_path.py",
    "src/petrelhaven/proxy/routing/read_placement.py",
    "src/petrelhaven/proxy/routing/request.py",
    "src/petrelhaven/proxy/routing/request_slots.py",
    "src/petrelhaven/proxy/routing/route.py",
    "src/petrelhaven/proxy/routing/statement_path.py",
    "src/petrelhaven/proxy/routing/transaction_start.py",
    "src/petrelhaven/proxy/routing/waiting.py",
    "src/petrelhaven/proxy/routing/write_path.py",
    "src/petrelhaven/proxy/session/statement.py",
    "src/petrelhaven/proxy/state_routes.py",
    "src/petrelhaven/runtime/clock.py",
    "src/petrelhaven/runtime/daemon.py",
    "src/petrelhaven/runtime/errors.py",
    "src/petrelhaven/runtime/events.py",
    "src/petrelhaven/runtime/file_watch.py",
    "src/petrelhaven/runtime/instant.py",
    "src/petrelhaven/runtime/limits.py",
    "src/petrelhaven/runtime/tasks.py",
    "src/petrelhaven/runtime/wall_clock.py",
    "src/petrelhaven/simulator/connection_sessions/attempt.py",
    "src/petrelhaven/simulator/connection_sessions/caller.py",
    "src/petrelhaven/simulator/connection_sessions/control_answer.py",
    "src/petrelhaven/simulator/connection_sessions/control_judge.py",
    "src/petrelhaven/simulator/connection_sessions/entry.py",
    "src/petrelhaven/simulator/connection_sessions/failover.py",
    "src/petrelhaven/simulator/connection_sessions/history.py",
    "src/petrelhaven/simulator/connection_sessions/operator.py",
    "src/petrelhaven/simulator/connection_sessions/operator_order.py",
    "src/petrelhaven/simulator/connection_sessions/order.py",
    "src/petrelhaven/simulator/connection_sessions/refusal.py",
    "src/petrelhaven/simulator/connection_sessions/run.py",
    "src/petrelhaven/simulator/connection_sessions/statement.py",
    "src/petrelhaven/simulator/control_gaps.py",
    "src/petrelhaven/simulator/net.py",
    "src/petrelhaven/simulator/resumable/history_check.py",
    "src/petrelhaven/simulator/resumable/scene.py",
    "src/petrelhaven/simulator/resumable/scenes/base.py",
    "src/petrelhaven/simulator/resumable/scenes/members.py",
    "src/petrelhaven/simulator/virtual_time.py",
    "src/petrelhaven/transport/channel.py",
    "src/petrelhaven/transport/http.py",
    "src/petrelhaven/transport/http_server.py",
    "src/petrelhaven/transport/lease_messages.py",
    "src/petrelhaven/transport/light_client.py",
    "src/petrelhaven/transport/light_http.py",
    "src/petrelhaven/transport/link.py",
    "src/petrelhaven/transport/message_kinds.py",
    "src/petrelhaven/transport/messages.py",
    "src/petrelhaven/transport/own_interface.py",
    "src/petrelhaven/transport/proxy_messages.py",
    "src/petrelhaven/transport/reach.py",
    "src/petrelhaven/transport/sockets.py",
    "platform/boot.py",
    "platform/core.py",
    "platform/daemon.py",
    "platform/edge.py",
    "platform/promotion_client.py",
    "platform/reload.py",
)

WORD = re.compile(r"[A-Z]+(?![a-z])|[A-Z]?[a-z]+|\d+")


def withdrawn_words(text):
    """The identifiers of a module that contain a withdrawn word, with their lines."""
    return [
        (token.start[0], token.string)
        for token in tokenize.generate_tokens(io.StringIO(text).readline)
        if token.type == tokenize.NAME
        and not keyword.iskeyword(token.string)
        and any(word.lower() in WITHDRAWN for word in WORD.findall(token.string))
    ]


def modules(place):
    """The modules of a file or folder."""
    path = ROOT / place
    return [path] if path.is_file() else sorted(path.rglob("*.py"))


@pytest.mark.parametrize("place", CLEAN)
def test_no_withdrawn_word_is_in_an_identifier(place):
    assert modules(place), "nothing is there any more: name its new place"
    found = {str(p.relative_to(ROOT)): withdrawn_words(p.read_text()) for p in modules(place)}
    assert {p: words for p, words in found.items() if words} == {}


@pytest.mark.parametrize("name", ["Nest", "LeaseDesk", "_held", "told_at", "HALL", "sightOf"])
def test_a_withdrawn_word_is_found_in_any_spelling(name):
    assert withdrawn_words(f"x = {name}") == [(1, name)]


@pytest.mark.parametrize("name", ["password", "nested", "remark", "restart", "turnover", "keyword"])
def test_a_word_that_only_contains_a_withdrawn_one_is_free(name):
    assert withdrawn_words(f"x = {name}") == []
