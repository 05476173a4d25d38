"""One request's way: taken or refused, sent, sent again where that is harmless, and answered once."""

from __future__ import annotations

from loadbalancer.balancing import endpoint_selection as ranking
from loadbalancer.balancing import outcome_statistics as health
from loadbalancer.balancing.actions import Action, Cancel, Fail, Reject, Send
from loadbalancer.balancing.admission import Admission
from loadbalancer.balancing.events import (
    AttemptOutcome,
    Request,
    RequestCancelled,
    RequestReceived,
    StreamStarted,
)
from loadbalancer.balancing.state import Attempt, BalancerState, PendingRequest
from loadbalancer.service_settings import Effect

OBJECTIVE_MARGIN_RATIO = 0.98  # attempts worth nothing late are given up at this share of the aim


class RequestLifecycle:
    def __init__(self, state: BalancerState, admission: Admission) -> None:
        self.state = state
        self.admission = admission

    def on_request(self, now: float, request: Request, acts: list[Action]) -> None:
        state = self.state
        kind = state.service_classes[request.service]
        job = state.pending[request.id] = PendingRequest(
            request, kind, now, self.admission.request_weight(request), state.route_version
        )
        full = self.admission.rejects(now, request, kind)
        if full or not self._send(now, job, acts):
            state.counters["refused at threshold" if full else "refused unsent"] += 1
            self._answer(job, acts)

    def on_request_received(self, now: float, event: RequestReceived) -> None:
        job = self.state.pending.get(event.id)
        if job is None or job.answered:
            return
        job.admitted_ms = now
        job.request.receiving = False
        job.request.deadline_ms = event.deadline_ms
        for at, item in enumerate(job.attempts):
            if item.result is None:
                item.sent_ms = now
                self._count_in_flight(job, at)

    def on_stream_started(self, event: StreamStarted, acts: list[Action]) -> None:
        job = self.state.pending.get(event.id)
        if job is not None:
            job.streaming = True
            self._cancel_others(job, event.attempt, acts)

    def on_request_cancelled(self, event: RequestCancelled, acts: list[Action]) -> None:
        job = self.state.pending.get(event.id)
        if job is not None:
            self._end(job, acts)

    def on_attempt_outcome(self, now: float, event: AttemptOutcome, acts: list[Action]) -> None:
        state = self.state
        health.record_load_report(state, now, event.server, event.load_report)
        job = state.pending.get(event.id)
        if (
            job is None
            or event.attempt >= len(job.attempts)
            or job.attempts[event.attempt].result is not None
        ):
            return
        item = job.attempts[event.attempt]
        item.result = event.result
        item.endpoint.in_flight = max(0.0, item.endpoint.in_flight - item.weight)
        item.endpoint.attempts_sent_ms.pop((event.id, event.attempt), None)
        health.record_outcome(state, now, job, item, event)
        if event.request_ended:
            job.streaming = False
            self._end(job, acts)
        elif job.answered:
            self._end(job, acts)
        elif not job.attempts_in_flight() and not self._send(now, job, acts):
            self._answer(job, acts)

    def _send(self, now: float, job: PendingRequest, acts: list[Action]) -> bool:
        state = self.state
        left = job.request.deadline_ms - now
        if (
            job.service_class.late_weight <= 0.0
            and not job.service_class.stream
            and job.service_class.latency_objective_stretch <= 0.0
        ):
            # Guard: late work is worth nothing, so it is stopped at the aim and does not crowd out the rest.
            # Where the aim moves with the work, which nobody tells, one past the bare aim may be in time.
            left = min(
                left, job.admitted_ms + job.service_class.latency_objective_ms * OBJECTIVE_MARGIN_RATIO - now
            )
        if job.answered or left <= 1.0 or len(job.attempts) >= state.settings.max_attempts:
            return False
        peer = ranking.select_endpoint(state, now, job)
        if peer is None:
            return False
        written_by_ms = ranking.retry_deadline_ms(job)
        job.attempts.append(Attempt(peer, now))
        self._count_in_flight(job, len(job.attempts) - 1)
        if peer.endpoint.name in state.restored:
            state.restored[peer.endpoint.name].attempted = True
        acts.append(Send(job.request.id, peer.endpoint.name, left, written_by_ms))
        return True

    def _count_in_flight(self, job: PendingRequest, attempt: int) -> None:
        """Count an attempt in flight. One whose request is still coming in is no load on its server yet."""
        item = job.attempts[attempt]
        # Guard: calls held the threshold for as long as their callers took to send them.
        item.weight = 0.0 if job.request.receiving else job.weight
        item.endpoint.in_flight += item.weight
        self.state.window.weight_sent += item.weight
        if item.weight:
            item.endpoint.attempts_sent_ms[(job.request.id, attempt)] = item.sent_ms

    def _answer(self, job: PendingRequest, acts: list[Action]) -> None:
        """The one final answer: a refusal where it is true that a retry is harmless, else a failure."""
        state = self.state
        ran = job.possibly_executed()
        if not ran or job.service_class.effect is Effect.IDEMPOTENT:
            wait = 0.0
            if state.settings.retry_after and state.settings.tier == 0:
                wait = min(state.settings.max_retry_after_ms, state.period_ms * state.cursor)
            acts.append(Reject(job.request.id, wait))
        else:
            acts.append(Fail(job.request.id))
        self._end(job, acts)

    def _end(self, job: PendingRequest, acts: list[Action]) -> None:
        if not job.answered:
            job.answered = True
            self._cancel_others(job, -1, acts)
        if not job.attempts_in_flight():
            self.state.pending.pop(job.request.id, None)

    def _cancel_others(self, job: PendingRequest, keep: int, acts: list[Action]) -> None:
        if self.state.settings.may_cancel and not (job.streaming and keep < 0):
            out = (at for at, item in enumerate(job.attempts) if item.result is None and at != keep)
            acts.extend(Cancel(job.request.id, at) for at in out)
