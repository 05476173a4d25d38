"""Passing the fleet's calls on: an agent to an instance, an instance to the one that leads.

Each of these calls may be said twice, so one that got no answer is said again elsewhere.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Sequence
from urllib.parse import urlencode

import structlog

from loadbalancer.node.address import Address
from loadbalancer.node.http.service_http import Answer, Call, Client
from loadbalancer.registry.renewal_relay import FORWARDED_HEADER
from loadbalancer.registry.watch import parse_query

FORWARDED_HEADERS = ("content-type",)  # of the answer's headers
ATTEMPT_TIMEOUT_S = (
    1.2  # for one instance's answer, over what a watch waits: longer than it waits for its leader's
)
TOTAL_TIMEOUT_S = 4.0  # for all of them


async def forward(client: Client, to: Address, request: Call, timeout_s: float, hop: bool = False) -> Answer:
    """The answer of the program at `to`; OSError or TimeoutError if there is none in time."""
    target = request.path + (f"?{urlencode(request.query)}" if request.query else "")
    headers = {FORWARDED_HEADER: "1"} if hop else {}
    reply = await client.call(to, request.method, target, request.body, timeout_s, headers)
    kept = {name: reply.headers[name] for name in FORWARDED_HEADERS if name in reply.headers}
    return Answer(reply.status, reply.body, kept)


class CallForwarder:
    """An agent's: `first` is the index of the instance that it follows, which is asked first."""

    def __init__(
        self, instances: Sequence[Address], first: Callable[[], int], log: structlog.stdlib.BoundLogger
    ) -> None:
        self._instances, self._first, self._log = instances, first, log
        self._client = Client()
        self._failures = 0

    async def answer(self, request: Call) -> Answer:
        """The first answer that is not 503; 503 where no instance gives one in time."""
        try:
            wait_s = parse_query(request)[1] if request.path == "/fleet/watch" else 0.0
        except ValueError:
            wait_s = 0.0  # the instance says what is wrong
        loop, start = asyncio.get_running_loop(), self._first()
        deadline = loop.time() + TOTAL_TIMEOUT_S + wait_s
        why = ""
        for step in range(len(self._instances)):
            to = self._instances[(start + step) % len(self._instances)]
            left_s = min(ATTEMPT_TIMEOUT_S + wait_s, deadline - loop.time())
            if left_s <= 0.0:
                break
            try:
                answer = await forward(self._client, to, request, left_s)
            except (OSError, TimeoutError) as failure:
                why = f"{type(failure).__name__}: {failure}"[:200]
                continue
            if answer.status != 503:
                return answer
            why = "503"
        self._failures += 1
        if self._failures % 100 == 1:
            self._log.warning("fleet_call_failed", path=request.path[:100], failures=self._failures, why=why)
        return Answer(503, b'{"error":"no instance of the list service did it in time"}')
