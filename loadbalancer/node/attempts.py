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
from loadbalancer.node.listener.requests import forwarded
from loadbalancer.node.request_registry import Job, Jobs
from loadbalancer.node.upstream.pool import Pool
from loadbalancer.service_settings import Settings
from loadbalancer.settings import report_from


class Attempts:
    """Makes attempts and tells their outcomes to `on_outcome`, in its order: whoever else is to hear of every
    outcome (server, result, latency in ms, load report) is appended there."""

    def __init__(
        self,
        settings: Settings,
        clock: Clock,
        jobs: Jobs,
        pool: Pool,
        counts: Counter[str],
        tell: Callable[[Event], None],
    ) -> None:
        self._loop = asyncio.get_running_loop()
        self._settings = settings
        self._clock = clock
        self._jobs = jobs
        self._pool = pool
        self._counts = counts
        self.on_outcome: list[Callable[[AttemptOutcome], None]] = [self._count, tell]

    def send(self, action: Send) -> None:
        job = self._jobs.get(action.id)
        number = len(job.attempts) if job is not None else 0
        began = self._loop.time()
        if job is not None:
            job.attempts.append(None)  # a moot send has a number too
        if job is None or number >= self._settings.max_attempts:
            self._end(action, number, job, AttemptResult.ABANDONED, began)
            return
        body = job.call.body if job.call.body.whole is None else None
        left = job.give_up_s if job.call.coming else job.give_up_at - began
        timeout = min(left, action.timeout_ms / 1000.0) if action.timeout_ms > 0.0 else left
        job.out += 1

        def on_result(result: AttemptResult, response: Response | None) -> None:
            job.out -= 1
            job.attempts[number] = None
            self._end(action, number, job, result, began, response)

        attempt = self._pool.send(
            action.server,
            lambda wait: forwarded(job.call, wait, body is not None),
            timeout,
            on_result,
            body,
            job.call.length is None,
            lambda: self._jobs.waits(job),
            self._clock.to_loop_time(action.written_by_ms),
        )
        if attempt is None:
            on_result(AttemptResult.CONNECT_FAILED, None)
        else:
            job.attempts[number] = attempt

    def cancel(self, action: Cancel) -> None:
        job = self._jobs.get(action.id)
        attempt = job.attempts[action.attempt] if job and action.attempt < len(job.attempts) else None
        if attempt is not None:
            attempt.cancel()

    def _end(
        self,
        action: Send,
        number: int,
        job: Job | None,
        result: AttemptResult,
        began: float,
        response: Response | None = None,
    ) -> None:
        """The one outcome of a send. The first good answer goes to the client and ends its request."""
        report = self._report(response)
        if job is not None:
            job.last = result
            job.may_have_run = job.may_have_run or not result.never_executed
            if result is AttemptResult.OK and response is not None:
                if response.rest is None:
                    self._jobs.answer(job, 200, bytes(response.body))
                else:
                    self._jobs.begin(job, response.length, response.rest)
            self._jobs.forget(job)
        done = job is None or job.done
        since = began if job is None else max(began, job.whole_at)
        latency = (self._loop.time() - since) * 1000.0
        outcome = AttemptOutcome(action.id, number, action.server, result, latency, done, report)
        for hear in self.on_outcome:
            hear(outcome)

    def _report(self, response: Response | None) -> dict[str, float] | None:
        load = response.headers.get(b"srv-load") if response is not None else None
        return report_from(load.decode("latin-1"), self._settings.load_report_fields) if load else None

    def _count(self, outcome: AttemptOutcome) -> None:
        self._counts[outcome.result.value] += 1
