"""Forwarding of the fleet's calls: from an agent to an instance, from an instance to the one that leads.

Each of these calls is idempotent, so a call without an answer is sent again to another instance.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Sequence
from http import HTTPStatus
from urllib.parse import urlencode

import structlog

from loadbalancer.node.address import Address
from loadbalancer.node.http.service_http import HttpClient, HttpRequest, HttpResponse
from loadbalancer.registry.errors import InvalidFieldError
from loadbalancer.registry.watch import parse_query

HOP_HEADER = "fleet-hop"  # marks a call forwarded by an instance; the next one answers it or says 503
RETURNED_HEADERS = ("content-type",)
ATTEMPT_TIMEOUT_S = 1.2  # of one instance, and a watch's wait; longer than it waits for its leader
TOTAL_TIMEOUT_S = 4.0  # of all instances, and a watch's wait
FAILURES_PER_LOG_LINE = 100
MAX_LOGGED_CHARACTERS = 200
MAX_LOGGED_PATH_CHARACTERS = 100


async def forward(
    client: HttpClient, to: Address, request: HttpRequest, timeout_s: float, hop: bool = False
) -> HttpResponse:
    """The answer of the program at `to`; OSError or TimeoutError if there is none in time."""
    target = request.path + (f"?{urlencode(request.query)}" if request.query else "")
    headers = {HOP_HEADER: "1"} if hop else {}
    reply = await client.send(to, request.method, target, request.body, timeout_s, headers)
    returned = {name: reply.headers[name] for name in RETURNED_HEADERS if name in reply.headers}
    return HttpResponse(reply.status, reply.body, returned)


class CallForwarder:
    """An agent's: `first` returns the index of the instance that it follows, which is asked first."""

    def __init__(
        self, instances: Sequence[Address], first: Callable[[], int], log: structlog.stdlib.BoundLogger
    ) -> None:
        self._instances, self._first, self._log = instances, first, log
        self._client = HttpClient()
        self._failures = 0

    async def answer(self, request: HttpRequest) -> HttpResponse:
        """The first answer that is not 503; 503 where no instance gives one in time."""
        wait_s = self._watch_wait_s(request)
        loop, start = asyncio.get_running_loop(), self._first()
        deadline = loop.time() + TOTAL_TIMEOUT_S + wait_s
        reason = ""
        for step in range(len(self._instances)):
            to = self._instances[(start + step) % len(self._instances)]
            left_s = min(ATTEMPT_TIMEOUT_S + wait_s, deadline - loop.time())
            if left_s <= 0.0:
                break
            try:
                answer = await forward(self._client, to, request, left_s)
            except (OSError, TimeoutError) as failure:
                reason = f"{type(failure).__name__}: {failure}"[:MAX_LOGGED_CHARACTERS]
                continue
            if answer.status != HTTPStatus.SERVICE_UNAVAILABLE:
                return answer
            reason = "503"
        self._log_failure(request, reason)
        return HttpResponse(
            HTTPStatus.SERVICE_UNAVAILABLE, b'{"error":"no instance of the list service did it in time"}'
        )

    def _watch_wait_s(self, request: HttpRequest) -> float:
        if request.path != "/fleet/watch":
            return 0.0
        try:
            return parse_query(request).wait_s
        except InvalidFieldError:
            return 0.0  # the instance answers 400

    def _log_failure(self, request: HttpRequest, reason: str) -> None:
        self._failures += 1
        if self._failures % FAILURES_PER_LOG_LINE == 1:
            path = request.path[:MAX_LOGGED_PATH_CHARACTERS]
            self._log.warning("fleet_call_failed", path=path, failures=self._failures, why=reason)
