"""Executes the balancer's Send actions; each has exactly one outcome, whether or not it starts an attempt."""

from __future__ import annotations

import asyncio
from collections import Counter
from collections.abc import Callable
from http import HTTPStatus

from loadbalancer.balancing.actions import Cancel, Send
from loadbalancer.balancing.events import AttemptOutcome, Event
from loadbalancer.endpoints import AttemptResult
from loadbalancer.node.active_request import ActiveRequest
from loadbalancer.node.clock import Clock
from loadbalancer.node.http.response import Response
from loadbalancer.node.listener.request_translation import encode_forwarded
from loadbalancer.node.request_registry import RequestRegistry
from loadbalancer.node.upstream.pool import ConnectionPool
from loadbalancer.service_settings import Settings
from loadbalancer.settings import parse_load_report

LOAD_REPORT_HEADER = b"srv-load"
OK_STATUS = HTTPStatus.OK.value  # a plain integer, as each response has it


class AttemptDispatcher:
    """Starts attempts, and calls the `outcome_listeners` in order with each outcome.

    Components that need the outcomes append their listener.
    """

    def __init__(
        self,
        settings: Settings,
        clock: Clock,
        requests: RequestRegistry,
        pool: ConnectionPool,
        counts: Counter[str],
        handle_event: Callable[[Event], None],
    ) -> None:
        self._loop = asyncio.get_running_loop()
        self._settings = settings
        self._clock = clock
        self._requests = requests
        self._pool = pool
        self._counts = counts
        self.outcome_listeners: list[Callable[[AttemptOutcome], None]] = [self._count, handle_event]

    def send(self, action: Send) -> None:
        """Start an attempt; abandon it if the request is not active or has reached the attempt limit."""
        active = self._requests.get(action.id)
        number = len(active.attempts) if active is not None else 0
        started_at = self._loop.time()
        if active is not None:
            active.attempts.append(None)  # an abandoned attempt also uses a number
        if active is None or not self._may_attempt(active, number):
            self._finish(action, number, active, AttemptResult.ABANDONED, started_at)
            return
        inbound = active.inbound
        body = inbound.body if inbound.body.complete_bytes is None else None
        remaining_s = active.client_timeout_s if inbound.receiving else active.deadline - started_at
        timeout_s = min(remaining_s, action.timeout_ms / 1000.0) if action.timeout_ms > 0.0 else remaining_s
        active.attempts_in_flight += 1

        def on_result(result: AttemptResult, response: Response | None) -> None:
            active.attempts_in_flight -= 1
            active.attempts[number] = None
            self._finish(action, number, active, result, started_at, response)

        attempt = self._pool.start_attempt(
            action.server,
            lambda time_left_s: encode_forwarded(inbound, time_left_s, body is not None),
            timeout_s,
            on_result,
            body,
            inbound.content_length is None,
            lambda: self._requests.awaits_response(active),
            self._clock.to_loop_time(action.written_by_ms),
        )
        if attempt is None:
            on_result(AttemptResult.CONNECT_FAILED, None)
        else:
            active.attempts[number] = attempt

    def _may_attempt(self, active: ActiveRequest, number: int) -> bool:
        """Whether the number of attempts is within the limit, and no other process executes the request."""
        return number < self._settings.max_attempts and self._requests.claim(active)

    def cancel(self, action: Cancel) -> None:
        """Cancel an attempt that is in flight."""
        active = self._requests.get(action.id)
        if active is None or action.attempt >= len(active.attempts):
            return
        attempt = active.attempts[action.attempt]
        if attempt is not None:
            attempt.cancel()

    def _finish(
        self,
        action: Send,
        number: int,
        active: ActiveRequest | None,
        result: AttemptResult,
        started_at: float,
        response: Response | None = None,
    ) -> None:
        """Report the outcome of a Send action; the first successful response is sent to the client."""
        report = self._load_report(response)
        if active is not None:
            active.last_result = result
            active.possibly_executed = active.possibly_executed or not result.never_executed
            if result is AttemptResult.OK and response is not None:
                if response.stream is None:
                    self._requests.respond(active, OK_STATUS, bytes(response.body))
                else:
                    self._requests.begin_stream(active, response.content_length, response.stream)
            self._requests.release(active)
        answered = active is None or active.answered
        since = started_at if active is None else max(started_at, active.received_at)
        latency_ms = (self._loop.time() - since) * 1000.0
        outcome = AttemptOutcome(action.id, number, action.server, result, latency_ms, answered, report)
        for listener in self.outcome_listeners:
            listener(outcome)

    def _load_report(self, response: Response | None) -> dict[str, float] | None:
        text = response.headers.get(LOAD_REPORT_HEADER) if response is not None else None
        return parse_load_report(text.decode("latin-1"), self._settings.load_report_fields) if text else None

    def _count(self, outcome: AttemptOutcome) -> None:
        self._counts[outcome.result.value] += 1
