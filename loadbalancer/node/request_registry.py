"""The registry of active requests: each is accepted, receives exactly one response, and is released."""

from __future__ import annotations

import asyncio
from collections import Counter
from collections.abc import Callable
from http import HTTPStatus

from loadbalancer.balancing.actions import Fail, Reject
from loadbalancer.balancing.events import Event, Request, RequestCancelled, RequestReceived
from loadbalancer.endpoints import AttemptResult
from loadbalancer.node.active_request import ActiveRequest
from loadbalancer.node.admin.metrics import NodeMetrics
from loadbalancer.node.clock import Clock
from loadbalancer.node.config import NodeConfig
from loadbalancer.node.executed_ids import ExecutedIds
from loadbalancer.node.http.body import Body
from loadbalancer.node.listener.errors import BadRequestError
from loadbalancer.node.listener.inbound_request import InboundRequest
from loadbalancer.node.listener.listener import Listener
from loadbalancer.node.listener.request_translation import parse_request
from loadbalancer.node.request_limits import Limit, RequestLimits
from loadbalancer.service_settings import Effect

BACKSTOP_DELAY_S = 0.005  # a request without a response gets a 504 this long after its deadline
UPLOAD_OVERRUN_S = 0.3  # an upload that its endpoint reads slowly is rejected this long after its deadline
MIN_UPLOAD_CHECK_S = 0.05  # interval between checks of an upload
UPLOAD_POLL_S = 0.2  # interval of checks whether a client may have sent its last byte
STREAM_OVERRUN_S = 0.4  # a streamed response whose server hangs is aborted this long after its deadline


class RequestRegistry:
    """All active requests by id. Requests beyond the node's limits are rejected and never become active."""

    def __init__(
        self,
        config: NodeConfig,
        clock: Clock,
        listener: Listener,
        executed_ids: ExecutedIds,
        metrics: NodeMetrics,
        counts: Counter[str],
        handle_event: Callable[[Event], None],
    ) -> None:
        self._loop = asyncio.get_running_loop()
        self._clock = clock
        self._listener = listener
        self._metrics = metrics
        self._counts = counts
        self._handle_event = handle_event
        self._classes = {service_class.name: service_class for service_class in config.settings.classes}
        self._memory = listener.memory
        self._limits = RequestLimits(listener, executed_ids, config.max_open_requests)
        self.active: dict[str, ActiveRequest] = {}
        self.executed_ids = executed_ids
        self.unanswered = 0
        self.receiving = 0  # unanswered requests whose last byte has not arrived yet
        self.streaming = 0  # responses that are being streamed

    @property
    def in_progress(self) -> int:
        """The number of requests whose client waits for a response or for the rest of a streamed one."""
        return self.unanswered + self.streaming

    def get(self, request_id: str) -> ActiveRequest | None:
        """Return the active request with this id, or None."""
        return self.active.get(request_id)

    def awaits_response(self, active: ActiveRequest) -> bool:
        """Whether the client still waits; also handles a disconnect not yet delivered by the event loop."""
        if not active.answered and active.inbound.connection.close_if_disconnected():
            self._on_client_disconnected(active)
        return not active.answered

    # ---------------------------------------------------------------- from clients

    def receive(self, inbound: InboundRequest) -> None:
        """Accept a request, possibly while its body is being received, or respond with an error."""
        self._counts["requests"] += 1
        try:
            parsed = parse_request(inbound, self._classes, self._clock.unix_ms(inbound.received_at))
            request = parsed.request
            # A request beyond a limit was sent to no endpoint, so the client may safely retry it.
            executes_once = self._executes_once(request.service)
            self._check_new(request, executes_once)
        except BadRequestError as error:
            self._counts[f"bad requests {error.status}"] += 1
            inbound.respond(error.status)
            return
        reserved_bytes = self._memory.exchange_bytes(inbound.memory_bytes, inbound.receiving)
        limit = self._limits.reserve(self.in_progress, self._uploads(inbound), reserved_bytes, executes_once)
        if limit is not None:
            self._reject_at(limit, request.service, inbound)
            return
        received_at, timeout_s = inbound.received_at, parsed.client_timeout_s
        active = ActiveRequest(
            request.id,
            request.service,
            inbound,
            received_at + timeout_s,
            timeout_s,
            received_at,
            executes_once,
            reserved_bytes,
        )
        self.active[request.id] = active
        self.unanswered += 1
        inbound.on_disconnected = lambda: self._on_client_disconnected(active)
        if inbound.receiving:
            self.receiving += 1
            inbound.on_received = lambda: self._on_received(active)
            active.check_timer = self._loop.call_later(timeout_s, self._check_upload, active)
        else:
            self._set_backstop(active)
        self._handle_event(request)

    def _uploads(self, inbound: InboundRequest) -> int | None:
        """Return the number of requests that are being received, or None if this one has been received."""
        return self.receiving if inbound.receiving else None

    def _reject_at(self, limit: Limit, service: str, inbound: InboundRequest) -> None:
        self._counts["over-limit rejections"] += 1
        self._counts[f"over limit of {limit.value}"] += 1
        self._metrics.count_limit(limit.value)
        self._metrics.count_response(service, HTTPStatus.SERVICE_UNAVAILABLE)
        inbound.respond(HTTPStatus.SERVICE_UNAVAILABLE)

    def _executes_once(self, service: str) -> bool:
        """Whether requests of this class must not be executed a second time."""
        return self._classes[service].effect is not Effect.IDEMPOTENT

    def claim(self, active: ActiveRequest) -> bool:
        """Claim the request's id before its first attempt.

        If another process of this node has claimed it, respond with 502 and return False: that request may
        have been executed.
        """
        if active.claimed or not active.executes_once:
            return True
        active.claimed = True
        if self.executed_ids.claim(active.id, self._loop.time(), active.client_timeout_s):
            return True
        self._counts["ids of another process"] += 1
        self.respond(active, HTTPStatus.BAD_GATEWAY)
        return False

    def _check_new(self, request: Request, executes_once: bool) -> None:
        """Raise BadRequestError if an earlier request with this id is unanswered or may still be executed."""
        earlier = self.active.get(request.id)
        if earlier is not None and self.awaits_response(earlier):
            raise BadRequestError(HTTPStatus.BAD_REQUEST)
        # An attempt of the earlier request may have been executed or still be in flight, so another attempt
        # could execute it twice. A 503 invites a retry, which is safe only if it is idempotent.
        if executes_once and self.executed_ids.contains(request.id, self._loop.time()):
            self._counts["repeated ids"] += 1
            raise BadRequestError(HTTPStatus.BAD_GATEWAY)
        if request.id in self.active:
            raise BadRequestError(HTTPStatus.BAD_GATEWAY if executes_once else HTTPStatus.SERVICE_UNAVAILABLE)

    def _on_received(self, active: ActiveRequest) -> None:
        """Start the client timeout of a request whose last byte arrived after its dispatch."""
        if active.answered:
            return
        self.receiving -= 1
        # The client timeout also runs while bytes wait unread here for an endpoint that reads slowly.
        active.received_at = active.inbound.received_at
        active.deadline = active.received_at + active.client_timeout_s
        self._cancel_timers(active)
        self._set_backstop(active)
        for attempt in active.attempts:
            if attempt is not None:
                attempt.start_timeout(active.deadline - self._loop.time())
        self._handle_event(RequestReceived(active.id, self._clock.unix_ms(active.deadline)))

    def _check_upload(self, active: ActiveRequest) -> None:
        """Reject a request whose last byte may have waited unread for its whole client timeout.

        That happens if its endpoint reads slowly. Its last byte has not been forwarded, so it can't have been
        executed. While the client itself sends slowly, nothing waits unread.
        """
        if active.answered or not active.inbound.receiving:
            return
        now = self._loop.time()
        earliest_end = active.inbound.connection.earliest_end(now)
        due = earliest_end + active.client_timeout_s + UPLOAD_OVERRUN_S
        if now < due:
            still_sending = earliest_end >= now
            check_at = now + UPLOAD_POLL_S if still_sending else max(now + MIN_UPLOAD_CHECK_S, due)
            active.check_timer = self._loop.call_at(check_at, self._check_upload, active)
            return
        self._counts["uploads not read in time"] += 1
        self.respond(active, HTTPStatus.SERVICE_UNAVAILABLE)
        self._handle_event(RequestCancelled(active.id))

    def _on_client_disconnected(self, active: ActiveRequest) -> None:
        if not active.answered:
            self._counts["client disconnects"] += 1
            self._mark_answered(active)
            self._handle_event(RequestCancelled(active.id))

    def _set_backstop(self, active: ActiveRequest) -> None:
        active.backstop_timer = self._loop.call_at(
            active.deadline + BACKSTOP_DELAY_S, self._on_backstop, active
        )

    def _cancel_timers(self, active: ActiveRequest) -> None:
        """Cancel the request's timers, which would otherwise keep the request in memory until they fire."""
        for timer in (active.backstop_timer, active.check_timer):
            if timer is not None:
                timer.cancel()

    def _on_backstop(self, active: ActiveRequest) -> None:
        """Respond with 504 to a request to which the balancer has not responded."""
        if not active.answered:
            self._counts["backstop responses"] += 1
            self.respond(active, HTTPStatus.GATEWAY_TIMEOUT)
            self._handle_event(RequestCancelled(active.id))

    # ------------------------------------------------------------------- responses

    def reject(self, action: Reject) -> None:
        """Respond with 503 and the action's Retry-After."""
        active = self.active.get(action.id)
        if active is not None:
            self.respond(active, HTTPStatus.SERVICE_UNAVAILABLE, retry_after_ms=action.retry_after_ms)

    def fail(self, action: Fail) -> None:
        """Respond with 504 if the last attempt timed out, otherwise with 502."""
        active = self.active.get(action.id)
        if active is not None:
            timed_out = active.last_result is AttemptResult.TIMEOUT
            self.respond(active, HTTPStatus.GATEWAY_TIMEOUT if timed_out else HTTPStatus.BAD_GATEWAY)

    def fail_all(self) -> None:
        """Respond with 504 to all unanswered requests, as the process is about to exit."""
        for active in [active for active in self.active.values() if not active.answered]:
            self.respond(active, HTTPStatus.GATEWAY_TIMEOUT)

    def respond(
        self, active: ActiveRequest, status: int, body: bytes = b"", retry_after_ms: float = 0.0
    ) -> None:
        """Send the response, unless the request already has one or its client has disconnected."""
        if not active.answered:
            self._counts[f"responses {status}"] += 1
            self._metrics.count_response(active.service, status)
            self._mark_answered(active)
            active.inbound.respond(status, body, retry_after_ms)

    def begin_stream(self, active: ActiveRequest, content_length: int | None, body: Body) -> None:
        """Start a streamed response; for the balancer and the timers the request is answered at its start."""
        if active.answered:
            body.discard()
            return
        self._counts["responses 200"] += 1
        active.streaming = True
        self._mark_answered(active)
        self.streaming += 1

        def on_end(complete: bool) -> None:
            self._cancel_timers(active)
            self.streaming -= 1
            active.streaming = False
            self._release_memory(active)
            if not complete:
                self._counts["aborted streams"] += 1
            self._metrics.count_response(
                active.service, HTTPStatus.OK if complete else HTTPStatus.BAD_GATEWAY
            )

        # The client must see the response end soon after its deadline if the endpoint hangs, but not if it
        # only sends slowly. Classes that are configured as streams have no such limit.
        if not active.inbound.receiving and not self._classes[active.service].stream:
            active.check_timer = self._loop.call_at(
                active.deadline + STREAM_OVERRUN_S, self._abort_if_hanging, active
            )
        active.inbound.begin_stream(content_length, body, on_end)

    def _abort_if_hanging(self, active: ActiveRequest) -> None:
        """Abort a streamed response whose endpoint hangs, or check again later."""
        next_check_at = active.inbound.abort_if_hanging()
        if next_check_at is None:
            self._counts["streams of hanging servers"] += 1
        else:
            active.check_timer = self._loop.call_at(next_check_at, self._abort_if_hanging, active)

    def _mark_answered(self, active: ActiveRequest) -> None:
        active.answered = True
        self.unanswered -= 1
        if active.inbound.receiving:
            self.receiving -= 1
        self._cancel_timers(active)
        for attempt in active.attempts:
            if attempt is not None:
                # If cancelling is disabled, the balancer cancels no attempt: one that has been written
                # continues. One that is still connecting must not be written after its client disconnected.
                attempt.withdraw(AttemptResult.ABANDONED)
        self.release(active)

    def release(self, active: ActiveRequest) -> None:
        """Remove the request if it is answered and none of its attempts is in flight."""
        if active.answered and not active.attempts_in_flight and self.active.pop(active.id, None) is not None:
            if active.executes_once:
                now = self._loop.time()
                self.executed_ids.end(
                    active.id, active.possibly_executed, active.claimed, now, active.client_timeout_s
                )
            self._release_memory(active)

    def _release_memory(self, active: ActiveRequest) -> None:
        """Return the request's memory to the budget, unless its response or an attempt is in progress."""
        if not active.streaming and not active.attempts_in_flight:
            self._memory.exchanges.release(active.reserved_bytes)
            active.reserved_bytes = 0
            # Without these references the garbage collector isn't needed to free the request.
            active.inbound.on_disconnected = active.inbound.on_received = None
