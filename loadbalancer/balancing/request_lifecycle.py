"""The lifecycle of a request: admission or rejection, attempts, safe retries, one final response.

The attempts are limited by `Settings.max_attempts`. A request that is not idempotent is retried only while no
attempt can have been executed; one with an idempotency key only within its deduplication window and scope.
"""

from __future__ import annotations

from loadbalancer.balancing import outcome_statistics
from loadbalancer.balancing.actions import Action, Cancel, Fail, Reject, Send
from loadbalancer.balancing.admission import Admission
from loadbalancer.balancing.endpoint_selection import retry_deadline_ms, select_endpoint
from loadbalancer.balancing.events import (
    AttemptOutcome,
    Request,
    RequestCancelled,
    RequestReceived,
    StreamStarted,
)
from loadbalancer.balancing.state import Attempt, BalancerState, PendingRequest
from loadbalancer.service_settings import Effect

OBJECTIVE_TIMEOUT_RATIO = 0.98  # timeout over the latency objective, if a late response has no value
MIN_TIMEOUT_MS = 1.0  # no attempt is made with less time left
NO_ATTEMPT = -1  # matches no attempt number


class RequestLifecycle:
    """Handles the events of requests. The methods append the resulting actions to `actions`."""

    def __init__(self, state: BalancerState, admission: Admission) -> None:
        self.state = state
        self.admission = admission

    def on_request(self, now_ms: float, request: Request, actions: list[Action]) -> None:
        """Admit and send a request or reject it; raise KeyError for a class that the settings don't name."""
        state = self.state
        service_class = state.service_classes[request.service]
        weight = self.admission.request_weight(request)
        pending = PendingRequest(request, service_class, now_ms, weight, state.route_version)
        state.pending[request.id] = pending
        over_threshold = self.admission.rejects(now_ms, request, service_class)
        if over_threshold or not self._send(now_ms, pending, actions):
            state.counters["rejected at threshold" if over_threshold else "rejected unsent"] += 1
            self._send_final_response(pending, actions)

    def on_request_received(self, now_ms: float, event: RequestReceived) -> None:
        """Start to measure a request, and its attempts in flight, now that its last byte has arrived."""
        pending = self.state.pending.get(event.id)
        if pending is None or pending.ended:
            return
        pending.admitted_ms = now_ms
        pending.request.receiving = False
        pending.request.deadline_ms = event.deadline_ms
        for number, attempt in enumerate(pending.attempts):
            if attempt.result is None:
                attempt.sent_ms = now_ms
                self._count_in_flight(pending, number)

    def on_stream_started(self, event: StreamStarted, actions: list[Action]) -> None:
        """Cancel the other attempts of a request whose response has begun to stream."""
        pending = self.state.pending.get(event.id)
        if pending is not None:
            pending.streaming = True
            self._cancel_attempts(pending, event.attempt, actions)

    def on_request_cancelled(self, event: RequestCancelled, actions: list[Action]) -> None:
        """End a request whose client has disconnected."""
        pending = self.state.pending.get(event.id)
        if pending is not None:
            self._end(pending, actions)

    def on_attempt_outcome(self, now_ms: float, event: AttemptOutcome, actions: list[Action]) -> None:
        """Record an attempt's result, then end, retry or respond to its request. A duplicate outcome counts
        once."""
        state = self.state
        outcome_statistics.record_load_report(state, now_ms, event.server, event.load_report)
        pending = state.pending.get(event.id)
        if pending is None or event.attempt >= len(pending.attempts):
            return
        attempt = pending.attempts[event.attempt]
        if attempt.result is not None:
            return
        attempt.result = event.result
        attempt.target.in_flight = max(0.0, attempt.target.in_flight - attempt.weight)
        attempt.target.attempts_sent_ms.pop((event.id, event.attempt), None)
        outcome_statistics.record_outcome(state, now_ms, pending, attempt, event)
        if event.request_ended:
            pending.streaming = False
            self._end(pending, actions)
        elif pending.ended:
            self._end(pending, actions)
        elif not pending.attempts_in_flight() and not self._send(now_ms, pending, actions):
            self._send_final_response(pending, actions)

    def _send(self, now_ms: float, pending: PendingRequest, actions: list[Action]) -> bool:
        """Make another attempt; False if none is allowed or no endpoint may take it."""
        state = self.state
        timeout_ms = self._timeout_ms(now_ms, pending)
        exhausted = len(pending.attempts) >= state.settings.max_attempts
        if pending.ended or timeout_ms <= MIN_TIMEOUT_MS or exhausted:
            return False
        target = select_endpoint(state, now_ms, pending)
        if target is None:
            return False
        written_by_ms = retry_deadline_ms(pending)
        pending.attempts.append(Attempt(target, now_ms))
        self._count_in_flight(pending, len(pending.attempts) - 1)
        name = target.listed.name
        if name in state.restored:
            state.restored[name].attempted = True
        actions.append(Send(pending.request.id, name, timeout_ms, written_by_ms))
        return True

    @staticmethod
    def _timeout_ms(now_ms: float, pending: PendingRequest) -> float:
        """The time left for another attempt: until the deadline, or until the latency objective if a later
        response has no value, so that late work doesn't take capacity from other requests."""
        timeout_ms = pending.request.deadline_ms - now_ms
        service_class = pending.service_class
        # A stretched objective grows with the request's work: a response past the plain one may be in time.
        stretched = service_class.latency_objective_stretch > 0.0
        if service_class.late_weight > 0.0 or service_class.stream or stretched:
            return timeout_ms
        objective_ms = service_class.latency_objective_ms * OBJECTIVE_TIMEOUT_RATIO
        return min(timeout_ms, pending.admitted_ms + objective_ms - now_ms)

    def _count_in_flight(self, pending: PendingRequest, number: int) -> None:
        """Count an attempt as in flight. Its weight is 0 while its request is still being received, since a
        slow client's upload takes no capacity from the server."""
        attempt = pending.attempts[number]
        attempt.weight = 0.0 if pending.request.receiving else pending.weight
        attempt.target.in_flight += attempt.weight
        self.state.window.weight_sent += attempt.weight
        if attempt.weight:
            attempt.target.attempts_sent_ms[(pending.request.id, number)] = attempt.sent_ms

    def _send_final_response(self, pending: PendingRequest, actions: list[Action]) -> None:
        """Append the one final response: a rejection if a retry by the client is safe, else a failure."""
        request_id = pending.request.id
        if not pending.possibly_executed() or pending.service_class.effect is Effect.IDEMPOTENT:
            actions.append(Reject(request_id, self._retry_after_ms()))
        else:
            actions.append(Fail(request_id))
        self._end(pending, actions)

    def _retry_after_ms(self) -> float:
        settings = self.state.settings
        if not settings.retry_after or settings.tier != 0:
            return 0.0
        return min(settings.max_retry_after_ms, self.state.period_ms * self.state.cursor)

    def _end(self, pending: PendingRequest, actions: list[Action]) -> None:
        """End a request; its state is dropped once no attempt is in flight."""
        if not pending.ended:
            pending.ended = True
            self._cancel_attempts(pending, NO_ATTEMPT, actions)
        if not pending.attempts_in_flight():
            self.state.pending.pop(pending.request.id, None)

    def _cancel_attempts(self, pending: PendingRequest, kept: int, actions: list[Action]) -> None:
        """Cancel the attempts in flight except `kept`; one that streams the response is never cancelled."""
        if not self.state.settings.may_cancel or (pending.streaming and kept == NO_ATTEMPT):
            return
        for number, attempt in enumerate(pending.attempts):
            if attempt.result is None and number != kept:
                actions.append(Cancel(pending.request.id, number))
