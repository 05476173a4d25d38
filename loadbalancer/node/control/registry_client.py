"""The list service as this node reaches it: the fleet's calls, through the agent beside it."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import msgspec
import orjson

from loadbalancer.membership.messages import LeaseAnswer
from loadbalancer.node.address import Address
from loadbalancer.node.http import service_http as web

KEPT_CONNECTIONS = 2  # idle at once: the watch has one of its own while it is open

_lease_answer = msgspec.json.Decoder(LeaseAnswer)


def decode_lease_answer(body: bytes) -> LeaseAnswer:
    """ValueError on anything that is not such an answer."""
    try:
        return _lease_answer.decode(body)
    except (msgspec.MsgspecError, RecursionError) as error:
        raise ValueError(f"answer: {error}") from error


class RegistryClient:
    """Calls of the fleet; each raises OSError or TimeoutError where there is no answer in time.

    Connections are kept from one call to the next: dialling anew for each took four fifths of what a renewal
    costs. One that proves closed is dialled anew for the same call, which may so be said twice.
    """

    def __init__(self, address: Callable[[], Address]) -> None:
        self._address = address  # discovery may move
        self._client = web.Client(KEPT_CONNECTIONS)

    async def post(self, path: str, body: dict[str, Any], timeout_ms: float) -> web.Reply:
        data = orjson.dumps(body)
        return await self._client.call(self._address(), "POST", f"/fleet/{path}", data, timeout_ms / 1000.0)

    async def get(self, target: str, timeout_ms: float) -> web.Reply:
        return await self._client.call(self._address(), "GET", f"/fleet/{target}", b"", timeout_ms / 1000.0)

    def close(self) -> None:
        """Close the connections that are kept; a call that follows opens one of its own."""
        self._client.close()
