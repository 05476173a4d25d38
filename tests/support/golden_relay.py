"""Plays the calls between two instances of the list service, for tests/data/golden/relay.json.

The functions are arguments, so that the recording release and the current one run the same script.
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
RESPONSES = [
    {"status": 200, "body": {"incarnation": 1, "share": 0.5}},
    {"status": 404, "body": {"error": "no row"}},
]


@dataclass(frozen=True)
class Functions:
    """A release's classes and functions that forward calls."""

    client: Any
    request: Any
    forward: Any
    relay: Any
    decode_renewals: Any
    encode_responses: Any


def play(functions: Functions) -> dict[str, Any]:
    """Return the calls that a leader receives, and the responses that a follower returns."""
    leader = RecordingServer(lambda path, body: orjson.dumps(RESPONSES) if "renew-many" in path else b"{}")
    names = {f"127.0.0.1:{leader.port}": "<leader>"}
    responses = asyncio.run(_call_leader(functions, leader.port))
    leader.close()
    calls = {call: masked(message, names) for call, message in sorted(leader.first_requests.items())}
    batch = functions.encode_responses(responses)
    return {"calls": calls, "answers": [_plain(response) for response in responses], "batch": _plain(batch)}


async def _call_leader(functions: Functions, port: int) -> list[Any]:
    client = functions.client()
    relay = functions.relay(client, lambda: f"127.0.0.1:{port}", structlog.get_logger())
    renewals = functions.decode_renewals(orjson.dumps(RENEWALS))
    try:
        responses = await asyncio.gather(*map(relay.renew, renewals))
        request = functions.request("POST", "/fleet/enrol", {"x": "a b"}, {}, b'{"name":"n1"}')
        await functions.forward(client, ("127.0.0.1", port), request, 5.0, hop=True)
    finally:
        client.close()
    return list(responses)


def _plain(response: Any) -> list[Any]:
    return [response.status, response.body.decode()]
