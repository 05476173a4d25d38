"""Stands between one node and the agent beside it: holds calls or answers, delays them, and shows the node
its siblings at other addresses (those of relays)."""

from __future__ import annotations

import asyncio
import threading
from collections.abc import Callable
from http import HTTPStatus
from urllib.parse import urlencode

import orjson

from loadbalancer.node.http.service_http import (
    HttpRequest,
    HttpResponse,
    ReceivedResponse,
    send_request,
    serve,
)
from tests.support.faults.link import Address
from tests.support.faults.loops import LoopThread

PATIENCE_S = 70.0  # longer than any call a node makes


class Hold:
    """Calls that wait; `reached` is set once there is one."""

    def __init__(self, path: str, answers: bool, loops: LoopThread) -> None:
        self.path, self.answers, self.reached = path, answers, threading.Event()
        self._loops, self._open = loops, asyncio.Event()

    async def wait(self) -> None:
        self.reached.set()
        await self._open.wait()

    def release(self) -> None:
        self._loops.call(self._open.set)


class Post:
    """`shown(address)` is what the node is told in place of a member's address."""

    def __init__(self, agent: Address, shown: Callable[[str], str], loops: LoopThread) -> None:
        self._agent, self._shown, self._loops = agent, shown, loops
        self._holds: list[Hold] = []
        self._delay_s = (0.0, 0.0)
        self._older = self._repeated = 0  # renewals still to be answered so
        self._first_renewed: bytes | None = (
            None  # the first answer to a renewal since the last one given again
        )
        self._server = loops.run(serve(("127.0.0.1", 0), self._handle))
        self.port: int = self._server.sockets[0].getsockname()[1]

    def hold(self, path: str = "", answers: bool = False) -> Hold:
        """From now on calls of paths that end so wait here, before they are passed on; or their answers do.

        A held call that its node gives up is never passed on.
        """
        held = Hold(path, answers, self._loops)
        self._loops.call(lambda: self._holds.append(held))
        return held

    def cut(self) -> None:
        """Nothing passes, either way, until it is healed."""
        self.hold()
        self.hold(answers=True)

    def delay(self, there_ms: float, back_ms: float) -> None:
        self._delay_s = (there_ms / 1000.0, back_ms / 1000.0)

    def give_older(self, count: int) -> None:
        """Answer so many renewals by an older answer in place of their own."""
        self._older = count

    def repeat(self, count: int) -> None:
        """Pass so many renewals on twice; the second answer is given."""
        self._repeated = count

    def heal(self) -> None:
        self._delay_s, self._older, self._repeated = (0.0, 0.0), 0, 0
        for held in self._loops.call(lambda: [self._holds.pop() for _ in list(self._holds)]):
            held.release()

    async def _handle(self, request: HttpRequest) -> HttpResponse:
        await self._pass(request.path, answers=False)
        try:
            target = request.path + (f"?{urlencode(request.query)}" if request.query else "")
            reply = await send_request(self._agent, request.method, target, request.body, PATIENCE_S)
            if request.path == "/fleet/renew" and reply.status == HTTPStatus.OK:
                reply = await self._disturbed(request, reply)
        except (OSError, TimeoutError):
            return HttpResponse(503)
        body = self._renamed(reply.body) if request.path in ("/fleet/enrol", "/fleet/renew") else reply.body
        await self._pass(request.path, answers=True)
        kept = {name: value for name, value in reply.headers.items() if name != "content-length"}
        return HttpResponse(reply.status, body, kept)

    async def _disturbed(self, request: HttpRequest, reply: ReceivedResponse) -> ReceivedResponse:
        if self._repeated:
            self._repeated -= 1
            reply = await send_request(self._agent, request.method, request.path, request.body, PATIENCE_S)
        older, self._first_renewed = self._first_renewed, self._first_renewed or reply.body
        if not self._older or older is None:
            return reply
        self._older, self._first_renewed = self._older - 1, None
        return ReceivedResponse(HTTPStatus.OK, reply.headers, older)

    async def _pass(self, path: str, answers: bool) -> None:
        await asyncio.sleep(self._delay_s[answers])
        for held in [one for one in self._holds if one.answers is answers and path.endswith(one.path)]:
            await held.wait()

    def _renamed(self, body: bytes) -> bytes:
        told = orjson.loads(body)
        for row in told.get("members", ()):
            row["address"] = self._shown(row["address"])
        return orjson.dumps(told)
