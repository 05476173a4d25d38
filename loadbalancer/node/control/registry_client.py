"""Calls to the list service through the agent next to this node."""

from __future__ import annotations

from collections.abc import Callable, Mapping
from typing import Final

import msgspec
import orjson

from loadbalancer.membership.messages import LeaseResponse
from loadbalancer.node.address import Address
from loadbalancer.node.control.errors import LeaseResponseError
from loadbalancer.node.http.service_client import HttpClient, ReceivedResponse

MAX_IDLE_CONNECTIONS: Final = 2  # while a watch poll is open, it occupies one more connection
_MS_PER_S: Final = 1000.0

_lease_response_decoder = msgspec.json.Decoder(LeaseResponse)


def decode_lease_response(body: bytes) -> LeaseResponse:
    """Decode the response to an enrolment or a renewal; raise LeaseResponseError if it is malformed."""
    try:
        return _lease_response_decoder.decode(body)
    except (msgspec.MsgspecError, RecursionError) as error:
        raise LeaseResponseError(str(error)) from error


class RegistryClient:
    """Sends the list service's calls under /fleet/.

    A call raises OSError or TimeoutError if it gets no response in time. Connections are reused. A call that
    finds its connection closed is sent again on a new one, so the service may receive it twice.
    """

    def __init__(self, address: Callable[[], Address]) -> None:
        """`address`: returns the agent's address; called for each call, as a reload may change it."""
        self._address = address
        self._client = HttpClient(MAX_IDLE_CONNECTIONS)

    async def post(self, path: str, body: Mapping[str, object], timeout_ms: float) -> ReceivedResponse:
        """POST a JSON object to /fleet/`path`."""
        return await self._call("POST", path, orjson.dumps(body), timeout_ms)

    async def get(self, target: str, timeout_ms: float) -> ReceivedResponse:
        """GET /fleet/`target`, a path with its query."""
        return await self._call("GET", target, b"", timeout_ms)

    def close(self) -> None:
        """Close the idle connections; a later call opens a new one."""
        self._client.close()

    async def _call(self, method: str, target: str, body: bytes, timeout_ms: float) -> ReceivedResponse:
        return await self._client.send(
            self._address(), method, f"/fleet/{target}", body, timeout_ms / _MS_PER_S
        )
