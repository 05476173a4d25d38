"""Forwarding of the fleet's calls: from an agent to an instance, and from an instance to the leader.

Each of these calls is idempotent, so a call without a response is retried at another instance.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Sequence
from http import HTTPStatus
from urllib.parse import urlencode

import structlog

from loadbalancer.node.address import Address
from loadbalancer.node.http.service_client import HttpClient
from loadbalancer.node.http.service_server import HttpRequest, HttpResponse
from loadbalancer.registry.errors import InvalidFieldError
from loadbalancer.registry.watch import parse_query

HOP_HEADER = "fleet-hop"  # marks a call forwarded by an instance; it is not forwarded again
RETURNED_HEADERS = ("content-type",)
# Timeouts, to which the wait of a watch is added. The one of an attempt exceeds the time for which an
# instance waits for its leader.
ATTEMPT_TIMEOUT_S = 1.2
TOTAL_TIMEOUT_S = 4.0  # for all attempts together
FAILURES_PER_LOG_LINE = 100
MAX_LOGGED_CHARACTERS = 200
MAX_LOGGED_PATH_CHARACTERS = 100


async def forward(
    client: HttpClient, to: Address, request: HttpRequest, timeout_s: float, hop: bool = False
) -> HttpResponse:
    """Forward to the program at `to`; return its response, or raise OSError or TimeoutError."""
    target = request.path + (f"?{urlencode(request.query)}" if request.query else "")
    headers = {HOP_HEADER: "1"} if hop else {}
    response = await client.send(to, request.method, target, request.body, timeout_s, headers)
    returned = {name: response.headers[name] for name in RETURNED_HEADERS if name in response.headers}
    return HttpResponse(response.status, response.body, returned)


class CallForwarder:
    """Forwards an agent's calls; `first` returns the index of the instance to try first."""

    def __init__(
        self, instances: Sequence[Address], first: Callable[[], int], log: structlog.stdlib.BoundLogger
    ) -> None:
        self._instances, self._first, self._log = instances, first, log
        self._client = HttpClient()
        self._failures = 0

    async def send(self, request: HttpRequest) -> HttpResponse:
        """Return the first response other than 503, or 503 if no instance gives one in time."""
        wait_s = self._watch_wait_s(request)
        loop, start = asyncio.get_running_loop(), self._first()
        deadline = loop.time() + TOTAL_TIMEOUT_S + wait_s
        reason = ""
        for step in range(len(self._instances)):
            to = self._instances[(start + step) % len(self._instances)]
            remaining_s = min(ATTEMPT_TIMEOUT_S + wait_s, deadline - loop.time())
            if remaining_s <= 0.0:
                break
            try:
                response = await forward(self._client, to, request, remaining_s)
            except (OSError, TimeoutError) as failure:
                reason = f"{type(failure).__name__}: {failure}"[:MAX_LOGGED_CHARACTERS]
                continue
            if response.status != HTTPStatus.SERVICE_UNAVAILABLE:
                return response
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
            return 0.0  # the instance responds with 400

    def _log_failure(self, request: HttpRequest, reason: str) -> None:
        self._failures += 1
        if self._failures % FAILURES_PER_LOG_LINE == 1:
            path = request.path[:MAX_LOGGED_PATH_CHARACTERS]
            self._log.warning("fleet_call_failed", path=path, failures=self._failures, why=reason)
