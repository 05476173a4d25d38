"""Calls to the list service, through the agent beside this node."""

from __future__ import annotations

from collections.abc import Callable, Mapping
from typing import Final

import msgspec
import orjson

from loadbalancer.membership.messages import LeaseResponse
from loadbalancer.node.address import Address
from loadbalancer.node.control.errors import LeaseAnswerError
from loadbalancer.node.http import service_http as web

MAX_IDLE_CONNECTIONS: Final = 2  # the watch has one of its own while it is open
_MS_PER_S: Final = 1000.0

_lease_answer = msgspec.json.Decoder(LeaseResponse)


def decode_lease_answer(body: bytes) -> LeaseResponse:
    """The answer to an enrolment or a renewal; LeaseAnswerError for a malformed one."""
    try:
        return _lease_answer.decode(body)
    except (msgspec.MsgspecError, RecursionError) as error:
        raise LeaseAnswerError(str(error)) from error


class RegistryClient:
    """The list service's calls under /fleet/.

    Each raises OSError or TimeoutError where no answer comes in time. Connections are reused; a call whose
    connection proves closed is sent again on a new one, so that the service may receive it twice.
    """

    def __init__(self, address: Callable[[], Address]) -> None:
        """`address`: of the agent; asked at each call, since discovery may move."""
        self._address = address
        self._client = web.HttpClient(MAX_IDLE_CONNECTIONS)

    async def post(self, path: str, body: Mapping[str, object], timeout_ms: float) -> web.ReceivedResponse:
        """POST a JSON object to /fleet/`path`."""
        return await self._call("POST", path, orjson.dumps(body), timeout_ms)

    async def get(self, target: str, timeout_ms: float) -> web.ReceivedResponse:
        """GET /fleet/`target`, a path with its query."""
        return await self._call("GET", target, b"", timeout_ms)

    def close(self) -> None:
        """Close the idle connections; a later call opens one of its own."""
        self._client.close()

    async def _call(self, method: str, target: str, body: bytes, timeout_ms: float) -> web.ReceivedResponse:
        return await self._client.send(
            self._address(), method, f"/fleet/{target}", body, timeout_ms / _MS_PER_S
        )
