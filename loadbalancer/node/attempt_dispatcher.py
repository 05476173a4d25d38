"""Sends of the module: each becomes an attempt at a server, or none, and has exactly one outcome."""

from __future__ import annotations

import asyncio
from collections import Counter
from collections.abc import Callable

from loadbalancer.balancing.actions import Cancel, Send
from loadbalancer.balancing.events import AttemptOutcome, Event
from loadbalancer.endpoints import AttemptResult
from loadbalancer.node.clock import Clock
from loadbalancer.node.http.client_connection import Response
from loadbalancer.node.listener.request_translation import encode_forwarded
from loadbalancer.node.request_registry import ActiveRequest, RequestRegistry
from loadbalancer.node.upstream.pool import ConnectionPool
from loadbalancer.service_settings import Settings
from loadbalancer.settings import parse_load_report


class AttemptDispatcher:
    """Makes attempts and tells their outcomes to `on_outcome`, in its order: whoever else is to hear of every
    outcome (server, result, latency in ms, load report) is appended there."""

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
        job = self._requests.get(action.id)
        number = len(job.attempts) if job is not None else 0
        began = self._loop.time()
        if job is not None:
            job.attempts.append(None)  # a moot send has a number too
        if job is None or number >= self._settings.max_attempts:
            self._end(action, number, job, AttemptResult.ABANDONED, began)
            return
        body = job.inbound.body if job.inbound.body.complete_bytes is None else None
        left = job.client_timeout_s if job.inbound.receiving else job.deadline - began
        timeout = min(left, action.timeout_ms / 1000.0) if action.timeout_ms > 0.0 else left
        job.attempts_in_flight += 1

        def on_result(result: AttemptResult, response: Response | None) -> None:
            job.attempts_in_flight -= 1
            job.attempts[number] = None
            self._end(action, number, job, result, began, response)

        attempt = self._pool.start_attempt(
            action.server,
            lambda wait: encode_forwarded(job.inbound, wait, body is not None),
            timeout,
            on_result,
            body,
            job.inbound.content_length is None,
            lambda: self._requests.awaits_response(job),
            self._clock.loop_time(action.written_by_ms),
        )
        if attempt is None:
            on_result(AttemptResult.CONNECT_FAILED, None)
        else:
            job.attempts[number] = attempt

    def cancel(self, action: Cancel) -> None:
        job = self._requests.get(action.id)
        attempt = job.attempts[action.attempt] if job and action.attempt < len(job.attempts) else None
        if attempt is not None:
            attempt.cancel()

    def _end(
        self,
        action: Send,
        number: int,
        job: ActiveRequest | None,
        result: AttemptResult,
        began: float,
        response: Response | None = None,
    ) -> None:
        """The one outcome of a send. The first good answer goes to the client and ends its request."""
        report = self._report(response)
        if job is not None:
            job.last_result = result
            job.possibly_executed = job.possibly_executed or not result.never_executed
            if result is AttemptResult.OK and response is not None:
                if response.stream is None:
                    self._requests.respond(job, 200, bytes(response.body))
                else:
                    self._requests.begin_stream(job, response.content_length, response.stream)
            self._requests.release(job)
        done = job is None or job.answered
        since = began if job is None else max(began, job.received_at)
        latency = (self._loop.time() - since) * 1000.0
        outcome = AttemptOutcome(action.id, number, action.server, result, latency, done, report)
        for hear in self.outcome_listeners:
            hear(outcome)

    def _report(self, response: Response | None) -> dict[str, float] | None:
        load = response.headers.get(b"srv-load") if response is not None else None
        return parse_load_report(load.decode("latin-1"), self._settings.load_report_fields) if load else None

    def _count(self, outcome: AttemptOutcome) -> None:
        self._counts[outcome.result.value] += 1
