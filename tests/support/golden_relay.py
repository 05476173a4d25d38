"""Plays what one instance of the list service says to another, for tests/data/golden/relay.json.

The functions come in from outside, so that the recording release and the present one run one script.
"""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from typing import Any

import orjson
import structlog

from tests.support.golden import RecordingServer, masked

RENEWALS = [
    {"incarnation": 1, "seq": 2, "acked": 3, "using": 0.5, "sent": 1000.5, "answered": 1, "delta": True},
    {"incarnation": 2, "seq": 1, "acked": -1, "using": 0.0},
]
ANSWERS = [
    {"status": 200, "body": {"incarnation": 1, "share": 0.5}},
    {"status": 404, "body": {"error": "no row"}},
]


@dataclass(frozen=True)
class Functions:
    """What a release passes calls on with."""

    client: Any
    call: Any
    pass_on: Any
    relay: Any
    read_batch: Any
    answer_batch: Any


def play(functions: Functions) -> dict[str, Any]:
    """The calls that a leader gets, and the answers that come back through a follower."""
    leader = RecordingServer(lambda path, body: orjson.dumps(ANSWERS) if "renew-many" in path else b"{}")
    names = {f"127.0.0.1:{leader.port}": "<leader>"}
    answers = asyncio.run(_said(functions, leader.port))
    leader.close()
    calls = {call: masked(message, names) for call, message in sorted(leader.first_requests.items())}
    batch = functions.answer_batch(answers)
    return {"calls": calls, "answers": [_plain(answer) for answer in answers], "batch": _plain(batch)}


async def _said(functions: Functions, port: int) -> list[Any]:
    client = functions.client()
    relay = functions.relay(client, lambda: f"127.0.0.1:{port}", structlog.get_logger())
    renewals = functions.read_batch(orjson.dumps(RENEWALS))
    try:
        answers = await asyncio.gather(*map(relay.renew, renewals))
        call = functions.call("POST", "/fleet/enrol", {"x": "a b"}, {}, b'{"name":"n1"}')
        await functions.pass_on(client, ("127.0.0.1", port), call, 5.0, hop=True)
    finally:
        client.close()
    return list(answers)


def _plain(answer: Any) -> list[Any]:
    return [answer.status, answer.body.decode()]
