"""The platform's operator interface of a control node: the response to each outcome of a request."""

import asyncio
import json
import sys
from pathlib import Path
from types import SimpleNamespace

import pytest

sys.path.insert(0, str(Path(__file__).parent.parent / "platform"))

from core import ControlRoutes  # noqa: E402
from petrelhaven.control.request_router import ANSWER_TIMEOUT_US  # noqa: E402
from petrelhaven.runtime.errors import (  # noqa: E402
    DeadlineExceeded,
    Duplicate,
    Invalid,
    NotReady,
    Stale,
    VersionTaken,
)
from petrelhaven.transport.light_http import LightHttpServer, Request  # noqa: E402

CONFIGURATION = json.dumps(
    {
        "Revision": 7,
        "Limits": {},
        "Services": [{"Name": "db", "HealthPath": "/health"}],
        "Routes": [
            {"Hostname": "h", "PathPrefix": "/", "Service": "db", "TimeoutMs": 800, "TargetMs": 300}
        ],
    }
).encode()


class ControlNode:
    """A control node whose requests all have one outcome; it records their time limits."""

    log = None

    def __init__(self, fault):
        self.fault, self.time_limits_us = fault, []

    async def _answer(self, within_us):
        self.time_limits_us.append(within_us)
        if self.fault:
            raise self.fault

    async def apply(self, text, by="", within_us=0):
        await self._answer(within_us)

    async def set_zone_state(self, zone, state, by="", within_us=0, delivery=None):
        await self._answer(within_us)

    async def control_state(self, within_us=0):
        await self._answer(within_us)


def collect_answers(fault):
    async def send_all():
        node, http_server = ControlNode(fault), LightHttpServer("127.0.0.1", 0)
        ControlRoutes(
            node,
            SimpleNamespace(zones=["a", "b"], zone="a", control="h:1", quota_bounds={}),
            http_server,
        )
        replace = await http_server.answer(Request("POST", "/v1/Config.Replace", CONFIGURATION))
        begin = await http_server.answer(Request("POST", "/v1/Evacuations.Begin/a", b""))
        finish = await http_server.answer(Request("POST", "/v1/Evacuations.Finish/a", b""))
        assert node.time_limits_us == [ANSWER_TIMEOUT_US] * 3 and ANSWER_TIMEOUT_US < 1_000_000
        if fault:
            fetch = await http_server.answer(Request("GET", "/v1/Config.Fetch", b""))
            assert node.time_limits_us[3] == ANSWER_TIMEOUT_US and (fetch[0], fetch[2]) == (
                begin[0],
                begin[2],
            )
        return [
            (status, dict(headers).get("Retry-After"))
            for status, _, headers in (replace, begin, finish)
        ]

    return asyncio.run(send_all())


def test_a_repeated_request_is_acknowledged_every_time():
    assert collect_answers(None) == [(200, None)] * 3


@pytest.mark.parametrize(
    ("fault", "replace"),
    [
        (Duplicate("version 7 is accepted already"), 200),
        (Stale("version 9 is in force"), 200),
        (VersionTaken("version 7 is taken by another manifest"), 409),
        (Invalid("manifest declined"), 422),
    ],
)
def test_a_configuration_that_is_not_newer_than_the_accepted_one(fault, replace):
    async def send_all():
        http_server = LightHttpServer("127.0.0.1", 0)
        ControlRoutes(
            ControlNode(fault),
            SimpleNamespace(zones=["a"], zone="a", control="h:1", quota_bounds={}),
            http_server,
        )
        return (await http_server.answer(Request("POST", "/v1/Config.Replace", CONFIGURATION)))[0]

    assert asyncio.run(send_all()) == replace


@pytest.mark.parametrize(
    "fault",
    [NotReady("no majority of the control nodes answers"), DeadlineExceeded("not confirmed yet")],
)
def test_a_request_without_an_outcome_is_answered_with_a_retry_time(fault):
    for status, retry_after in collect_answers(fault):
        assert status in (503, 504) and retry_after == "1"
