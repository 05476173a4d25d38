"""A proxy between a node and its agent that delays, blocks, duplicates or replays calls and responses.

It also replaces the siblings' addresses in responses by the addresses of relays.
"""

from __future__ import annotations

import asyncio
import threading
from collections.abc import Callable
from http import HTTPStatus
from urllib.parse import urlencode

import orjson

from loadbalancer.node.http.service_client import ReceivedResponse, send_request
from loadbalancer.node.http.service_server import HttpRequest, HttpResponse, serve
from tests.support.faults.link import Address
from tests.support.faults.loops import LoopThread

CALL_TIMEOUT_S = 70.0  # longer than any call of a node


class BlockedCalls:
    """Calls to one path, or their responses, that are blocked until released.

    `reached` is set once the first is blocked.
    """

    def __init__(self, path: str, responses: bool, loops: LoopThread) -> None:
        self.path, self.responses, self.reached = path, responses, threading.Event()
        self._loops, self._released = loops, asyncio.Event()

    async def wait(self) -> None:
        self.reached.set()
        await self._released.wait()

    def release(self) -> None:
        self._loops.call(self._released.set)


class AgentProxy:
    """The proxy of one node; the node receives `relayed(address)` in place of a sibling's address."""

    def __init__(self, agent: Address, relayed: Callable[[str], str], loops: LoopThread) -> None:
        self._agent, self._relayed, self._loops = agent, relayed, loops
        self._blocked: list[BlockedCalls] = []
        self._delay_s = (0.0, 0.0)
        self._to_replay = self._to_duplicate = 0  # how many further renewals get each fault
        # The first response to a renewal since the last replay, which the next replay sends.
        self._first_renewed: bytes | None = None
        self._server = loops.run(serve(("127.0.0.1", 0), self._handle))
        self.port: int = self._server.sockets[0].getsockname()[1]

    def block(self, path: str = "", responses: bool = False) -> BlockedCalls:
        """Block new calls whose path ends in `path` before they are forwarded, or their responses.

        A blocked call that its node cancels is never forwarded.
        """
        blocked_calls = BlockedCalls(path, responses, self._loops)
        self._loops.call(lambda: self._blocked.append(blocked_calls))
        return blocked_calls

    def partition(self) -> None:
        """Block calls and responses until healed."""
        self.block()
        self.block(responses=True)

    def delay(self, forward_ms: float, reverse_ms: float) -> None:
        """Delay calls and responses."""
        self._delay_s = (forward_ms / 1000.0, reverse_ms / 1000.0)

    def replay_older_responses(self, count: int) -> None:
        """Respond to the next `count` renewals with an older response in place of their own."""
        self._to_replay = count

    def duplicate_renewals(self, count: int) -> None:
        """Forward the next `count` renewals twice; the node receives the second response."""
        self._to_duplicate = count

    def heal(self) -> None:
        """Remove all faults and release blocked calls and responses."""
        self._delay_s, self._to_replay, self._to_duplicate = (0.0, 0.0), 0, 0
        for blocked_calls in self._loops.call(lambda: [self._blocked.pop() for _ in list(self._blocked)]):
            blocked_calls.release()

    async def _handle(self, request: HttpRequest) -> HttpResponse:
        await self._delay_or_block(request.path, responses=False)
        try:
            target = request.path + (f"?{urlencode(request.query)}" if request.query else "")
            response = await send_request(self._agent, request.method, target, request.body, CALL_TIMEOUT_S)
            if request.path == "/fleet/renew" and response.status == HTTPStatus.OK:
                response = await self._duplicate_or_replay(request, response)
        except (OSError, TimeoutError):
            return HttpResponse(503)
        body = (
            self._with_relayed_addresses(response.body)
            if request.path in ("/fleet/enrol", "/fleet/renew")
            else response.body
        )
        await self._delay_or_block(request.path, responses=True)
        headers = {name: value for name, value in response.headers.items() if name != "content-length"}
        return HttpResponse(response.status, body, headers)

    async def _duplicate_or_replay(
        self, request: HttpRequest, response: ReceivedResponse
    ) -> ReceivedResponse:
        if self._to_duplicate:
            self._to_duplicate -= 1
            response = await send_request(
                self._agent, request.method, request.path, request.body, CALL_TIMEOUT_S
            )
        older, self._first_renewed = self._first_renewed, self._first_renewed or response.body
        if not self._to_replay or older is None:
            return response
        self._to_replay, self._first_renewed = self._to_replay - 1, None
        return ReceivedResponse(HTTPStatus.OK, response.headers, older)

    async def _delay_or_block(self, path: str, responses: bool) -> None:
        await asyncio.sleep(self._delay_s[responses])
        for blocked_calls in [
            blocked_calls
            for blocked_calls in self._blocked
            if blocked_calls.responses is responses and path.endswith(blocked_calls.path)
        ]:
            await blocked_calls.wait()

    def _with_relayed_addresses(self, body: bytes) -> bytes:
        response = orjson.loads(body)
        for member in response.get("members", ()):
            member["address"] = self._relayed(member["address"])
        return orjson.dumps(response)
