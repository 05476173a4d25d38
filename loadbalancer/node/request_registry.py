"""Requests that the module knows of: how they are taken in, answered once, and forgotten."""

from __future__ import annotations

import asyncio
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field

from loadbalancer.balancing.actions import Fail, Reject
from loadbalancer.balancing.events import Event, Request, RequestCancelled, RequestReceived
from loadbalancer.endpoints import AttemptResult
from loadbalancer.node.admin.metrics import NodeMetrics
from loadbalancer.node.clock import Clock
from loadbalancer.node.config import NodeConfig
from loadbalancer.node.http.body import Body
from loadbalancer.node.listener.inbound_request import InboundRequest
from loadbalancer.node.listener.listener import Listener
from loadbalancer.node.listener.request_translation import BadRequestError, parse_request
from loadbalancer.node.upstream.pool import Attempt
from loadbalancer.service_settings import Effect

BACKSTOP_S = 0.005  # after which a request that the module left unanswered is answered for it
CUT_OFF_S = 0.25  # past its caller's time a long answer is given up at a silence of its server of so long
BODIES_SHARE = 0.25  # of the memory: requests still coming in,
BODY_COST = 256 * 1024  # each of which may have so much on its way


@dataclass(slots=True, eq=False)
class ActiveRequest:
    """A request that the module knows of, until it is over and all its attempts have ended."""

    id: str
    service: str  # its class's name
    inbound: InboundRequest
    deadline: float  # by the loop's clock
    client_timeout_s: float  # from its last byte on
    received_at: float  # the loop's time when that came, of its being handed on until then
    backstop_timer: asyncio.TimerHandle | None = None
    answered: bool = False
    attempts: list[Attempt | None] = field(default_factory=list)
    attempts_in_flight: int = 0
    last_result: AttemptResult | None = None
    possibly_executed: bool = False  # by the outcomes so far
    cancelled: bool = False  # its caller went before it had an answer


class RequestRegistry:
    """All of them, by id. Each is answered exactly once; what is over the node's limits never gets here."""

    def __init__(
        self,
        config: NodeConfig,
        clock: Clock,
        server: Listener,
        metrics: NodeMetrics,
        counts: Counter[str],
        handle_event: Callable[[Event], None],
    ) -> None:
        self._loop = asyncio.get_running_loop()
        self._clock = clock
        self._server = server
        self._metrics = metrics
        self._counts = counts
        self._handle_event = handle_event
        self._classes = {kind.name: kind for kind in config.settings.classes}
        self._max_open = config.max_open_requests
        self.max_receiving = max(1, int(config.memory_mb * BODIES_SHARE * 1024 * 1024 / BODY_COST))
        self.active: dict[str, ActiveRequest] = {}
        # Requests that may have run when their callers left, for as long as these might still come again.
        self._cancelled_ids: set[str] = set()
        self.unanswered = 0  # requests without a final answer
        self.receiving = 0  # those of them whose last byte has yet to come
        self.streaming = 0  # long answers under way

    @property
    def in_progress(self) -> int:
        """Requests that a caller still waits for, wholly or for the rest of the answer."""
        return self.unanswered + self.streaming

    def get(self, name: str) -> ActiveRequest | None:
        return self.active.get(name)

    def awaits_response(self, job: ActiveRequest) -> bool:
        """Whether its caller still waits for an answer; one whose end waits in the kernel has gone now."""
        if not job.answered and job.inbound.connection.close_if_disconnected():
            self._on_client_disconnected(job)
        return not job.answered

    # ------------------------------------------------------------------ from callers

    def receive(self, call: InboundRequest) -> None:
        """A request has come in: the whole of it, or its head while the body still comes."""
        self._counts["taken"] += 1
        try:
            request, give_up_s = parse_request(call, self._classes, self._clock.ms(call.received_at))
            self._check_new(request)
        except BadRequestError as error:
            self._counts[f"bad {error.status}"] += 1
            call.respond(error.status)
            return
        many = call.receiving and self.receiving >= self.max_receiving
        if many or self.in_progress >= self._max_open or self._server.over_limit:
            # Guard: too many to hold. None of it has gone anywhere, so it is a refusal.
            self._counts["over the limit"] += 1
            self._metrics.count_response(request.service, 503)
            call.respond(503)
            return
        job = ActiveRequest(
            request.id, request.service, call, call.received_at + give_up_s, give_up_s, call.received_at
        )
        self.active[request.id] = job
        self.unanswered += 1
        call.on_disconnected = lambda: self._on_client_disconnected(job)
        if call.receiving:
            self.receiving += 1
            call.on_received = lambda: self._on_received(job)
        else:
            self._set_backstop(job)
        self._handle_event(request)

    def _check_new(self, request: Request) -> None:
        """Raises BadRequestError for an id that came before and may have run, or may yet."""
        earlier = self.active.get(request.id)
        if earlier is not None and self.awaits_response(earlier):
            raise BadRequestError(400)
        if request.id in self.active or request.id in self._cancelled_ids:
            # Guard: it must not be sent again as if new, nor be refused as harmless to try again unless
            # its class is; while an attempt is out, even that would be a second copy.
            safe = self._classes[request.service].effect is Effect.IDEMPOTENT
            raise BadRequestError(503 if safe else 502)

    def _on_received(self, job: ActiveRequest) -> None:
        """The last byte has come of a request that was handed on before."""
        if job.answered:
            return
        self.receiving -= 1
        # Guard: what its server was slow to take had waited unread here, and its caller's time ran meanwhile.
        job.received_at = job.inbound.received_at
        job.deadline = job.received_at + job.client_timeout_s
        self._set_backstop(job)
        for attempt in job.attempts:
            if attempt is not None:
                attempt.start_timeout(job.deadline - self._loop.time())
        self._handle_event(RequestReceived(job.id, self._clock.ms(job.deadline)))

    def _on_client_disconnected(self, job: ActiveRequest) -> None:
        if not job.answered:
            self._counts["gone"] += 1
            job.cancelled = True
            self._mark_answered(job)
            self._handle_event(RequestCancelled(job.id))

    def _set_backstop(self, job: ActiveRequest) -> None:
        job.backstop_timer = self._loop.call_at(job.deadline + BACKSTOP_S, self._on_backstop, job)

    def _on_backstop(self, job: ActiveRequest) -> None:
        # Guard: whatever the module does, the client gets an answer while it still waits.
        if not job.answered:
            self._counts["backstop"] += 1
            self.respond(job, 504)
            self._handle_event(RequestCancelled(job.id))

    # ----------------------------------------------------------------------- answers

    def reject(self, action: Reject) -> None:
        job = self.active.get(action.id)
        if job is not None:
            self.respond(job, 503, retry_after_ms=action.retry_after_ms)

    def fail(self, action: Fail) -> None:
        job = self.active.get(action.id)
        if job is not None:
            self.respond(job, 504 if job.last_result is AttemptResult.TIMEOUT else 502)

    def fail_all(self) -> None:
        """The process ends: nobody will answer what is still open."""
        for job in [job for job in self.active.values() if not job.answered]:
            self.respond(job, 504)

    def respond(
        self, job: ActiveRequest, status: int, body: bytes = b"", retry_after_ms: float = 0.0
    ) -> None:
        """The final answer, unless the request has had one or its caller has gone."""
        if not job.answered:
            self._counts[f"answered {status}"] += 1
            self._metrics.count_response(job.service, status)
            self._mark_answered(job)
            job.inbound.respond(status, body, retry_after_ms)

    def begin_stream(self, job: ActiveRequest, length: int | None, rest: Body) -> None:
        """A long answer: for the module and the clock its first bytes are the whole of it."""
        if job.answered:
            rest.discard()
            return
        self._counts["answered 200"] += 1
        self._mark_answered(job)
        self.streaming += 1
        over = False

        def on_end(whole: bool) -> None:
            nonlocal over
            over = True
            self.streaming -= 1
            if not whole:
                self._counts["broken off"] += 1
            self._metrics.count_response(job.service, 200 if whole else 502)

        def cut_off() -> None:
            # Guard: a server that hung held its caller for 10 s, past the time by which it is owed an end.
            if not over and not job.inbound.abort_if_silent(CUT_OFF_S):
                self._loop.call_later(CUT_OFF_S, cut_off)

        if not job.inbound.receiving and not self._classes[job.service].stream:
            self._loop.call_at(job.deadline + CUT_OFF_S, cut_off)
        job.inbound.begin_stream(length, rest, on_end)

    def _mark_answered(self, job: ActiveRequest) -> None:
        job.answered = True
        self.unanswered -= 1
        if job.inbound.receiving:
            self.receiving -= 1
        if job.backstop_timer is not None:
            job.backstop_timer.cancel()
        for attempt in job.attempts:
            if attempt is not None:
                # Guard: where cancelling is not allowed the module gives up none, and one that still
                # connected was written after its caller had gone. Nothing that was written is cancelled.
                attempt.withdraw(AttemptResult.ABANDONED)
        self.release(job)

    def release(self, job: ActiveRequest) -> None:
        """Let go of it, if it is over and no attempt is out."""
        if job.answered and not job.attempts_in_flight and self.active.pop(job.id, None) is not None:
            safe = self._classes[job.service].effect is Effect.IDEMPOTENT
            if job.cancelled and job.possibly_executed and not safe:
                self._cancelled_ids.add(job.id)
                self._loop.call_at(job.deadline, self._cancelled_ids.discard, job.id)
