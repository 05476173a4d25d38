"""The list service as this node reaches it: the fleet's calls, through the agent beside it."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import msgspec
import orjson

from orchidledge.members.messages import LeaseAnswer
from orchidledge.net import web
from orchidledge.net.upstream import Address

_lease_answer = msgspec.json.Decoder(LeaseAnswer)


def read_lease(body: bytes) -> LeaseAnswer:
    """ValueError on anything that is not such an answer."""
    try:
        return _lease_answer.decode(body)
    except (msgspec.MsgspecError, RecursionError) as error:
        raise ValueError(f"answer: {error}") from error


class Agent:
    """Calls of the fleet; each raises OSError or TimeoutError where there is no answer in time."""

    def __init__(self, address: Callable[[], Address]) -> None:
        self._address = address  # discovery may move

    async def post(self, path: str, body: dict[str, Any], timeout_ms: float) -> web.Reply:
        data = orjson.dumps(body)
        return await web.call(self._address(), "POST", f"/fleet/{path}", data, timeout_ms / 1000.0)

    async def get(self, target: str, timeout_ms: float) -> web.Reply:
        return await web.call(self._address(), "GET", f"/fleet/{target}", b"", timeout_ms / 1000.0)
