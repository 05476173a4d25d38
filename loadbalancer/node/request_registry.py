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
from loadbalancer.node.listener.call import Call
from loadbalancer.node.listener.requests import BadRequestError, parse
from loadbalancer.node.listener.server import Server
from loadbalancer.node.upstream.pool import Attempt
from loadbalancer.service_settings import Effect

BACKSTOP_S = 0.005  # after which a request that the module left unanswered is answered for it
CUT_OFF_S = 0.25  # past its caller's time a long answer is given up at a silence of its server of so long
BODIES_SHARE = 0.25  # of the memory: requests still coming in,
BODY_COST = 256 * 1024  # each of which may have so much on its way


@dataclass(slots=True, eq=False)
class Job:
    """A request that the module knows of, until it is over and all its attempts have ended."""

    id: str
    service: str  # its class's name
    call: Call
    give_up_at: float  # by the loop's clock
    give_up_s: float  # from its last byte on
    whole_at: float  # the loop's time when that came, of its being handed on until then
    backstop: asyncio.TimerHandle | None = None
    done: bool = False
    attempts: list[Attempt | None] = field(default_factory=list)
    out: int = 0
    last: AttemptResult | None = None
    may_have_run: bool = False  # by the outcomes so far
    left: bool = False  # its caller went before it had an answer


class Jobs:
    """All of them, by id. Each is answered exactly once; what is over the node's limits never gets here."""

    def __init__(
        self,
        config: NodeConfig,
        clock: Clock,
        server: Server,
        figures: NodeMetrics,
        counts: Counter[str],
        tell: Callable[[Event], None],
    ) -> None:
        self._loop = asyncio.get_running_loop()
        self._clock = clock
        self._server = server
        self._figures = figures
        self._counts = counts
        self._tell = tell
        self._classes = {kind.name: kind for kind in config.settings.classes}
        self._max_open = config.max_open_requests
        self.max_coming = max(1, int(config.memory_mb * BODIES_SHARE * 1024 * 1024 / BODY_COST))
        self.held: dict[str, Job] = {}
        # Requests that may have run when their callers left, for as long as these might still come again.
        self._left: set[str] = set()
        self.open = 0  # requests without a final answer
        self.coming = 0  # those of them whose last byte has yet to come
        self.passing_on = 0  # long answers under way

    @property
    def under_way(self) -> int:
        """Requests that a caller still waits for, wholly or for the rest of the answer."""
        return self.open + self.passing_on

    def get(self, name: str) -> Job | None:
        return self.held.get(name)

    def waits(self, job: Job) -> bool:
        """Whether its caller still waits for an answer; one whose end waits in the kernel has gone now."""
        if not job.done and job.call.connection.close_if_left():
            self._on_gone(job)
        return not job.done

    # ------------------------------------------------------------------ from callers

    def take(self, call: Call) -> None:
        """A request has come in: the whole of it, or its head while the body still comes."""
        self._counts["taken"] += 1
        try:
            request, give_up_s = parse(call, self._classes, self._clock.unix_ms(call.arrived))
            self._check_new(request)
        except BadRequestError as error:
            self._counts[f"bad {error.status}"] += 1
            call.answer(error.status)
            return
        many = call.coming and self.coming >= self.max_coming
        if many or self.under_way >= self._max_open or self._server.crowded:
            # Guard: too many to hold. None of it has gone anywhere, so it is a refusal.
            self._counts["over the limit"] += 1
            self._figures.count_response(request.service, 503)
            call.answer(503)
            return
        job = Job(request.id, request.service, call, call.arrived + give_up_s, give_up_s, call.arrived)
        self.held[request.id] = job
        self.open += 1
        call.on_gone = lambda: self._on_gone(job)
        if call.coming:
            self.coming += 1
            call.on_whole = lambda: self._on_whole(job)
        else:
            self._set_backstop(job)
        self._tell(request)

    def _check_new(self, request: Request) -> None:
        """Raises BadRequestError for an id that came before and may have run, or may yet."""
        earlier = self.held.get(request.id)
        if earlier is not None and self.waits(earlier):
            raise BadRequestError(400)
        if request.id in self.held or request.id in self._left:
            # Guard: it must not be sent again as if new, nor be refused as harmless to try again unless
            # its class is; while an attempt is out, even that would be a second copy.
            safe = self._classes[request.service].effect is Effect.IDEMPOTENT
            raise BadRequestError(503 if safe else 502)

    def _on_whole(self, job: Job) -> None:
        """The last byte has come of a request that was handed on before."""
        if job.done:
            return
        self.coming -= 1
        # Guard: what its server was slow to take had waited unread here, and its caller's time ran meanwhile.
        job.whole_at = job.call.arrived
        job.give_up_at = job.whole_at + job.give_up_s
        self._set_backstop(job)
        for attempt in job.attempts:
            if attempt is not None:
                attempt.run_clock(job.give_up_at - self._loop.time())
        self._tell(RequestReceived(job.id, self._clock.unix_ms(job.give_up_at)))

    def _on_gone(self, job: Job) -> None:
        if not job.done:
            self._counts["gone"] += 1
            job.left = True
            self._end(job)
            self._tell(RequestCancelled(job.id))

    def _set_backstop(self, job: Job) -> None:
        job.backstop = self._loop.call_at(job.give_up_at + BACKSTOP_S, self._on_backstop, job)

    def _on_backstop(self, job: Job) -> None:
        # Guard: whatever the module does, the client gets an answer while it still waits.
        if not job.done:
            self._counts["backstop"] += 1
            self.answer(job, 504)
            self._tell(RequestCancelled(job.id))

    # ----------------------------------------------------------------------- answers

    def refuse(self, action: Reject) -> None:
        job = self.held.get(action.id)
        if job is not None:
            self.answer(job, 503, retry_after_ms=action.retry_after_ms)

    def fail(self, action: Fail) -> None:
        job = self.held.get(action.id)
        if job is not None:
            self.answer(job, 504 if job.last is AttemptResult.TIMEOUT else 502)

    def fail_all(self) -> None:
        """The process ends: nobody will answer what is still open."""
        for job in [job for job in self.held.values() if not job.done]:
            self.answer(job, 504)

    def answer(self, job: Job, status: int, body: bytes = b"", retry_after_ms: float = 0.0) -> None:
        """The final answer, unless the request has had one or its caller has gone."""
        if not job.done:
            self._counts[f"answered {status}"] += 1
            self._figures.count_response(job.service, status)
            self._end(job)
            job.call.answer(status, body, retry_after_ms)

    def begin(self, job: Job, length: int | None, rest: Body) -> None:
        """A long answer: for the module and the clock its first bytes are the whole of it."""
        if job.done:
            rest.abandon()
            return
        self._counts["answered 200"] += 1
        self._end(job)
        self.passing_on += 1
        over = False

        def on_end(whole: bool) -> None:
            nonlocal over
            over = True
            self.passing_on -= 1
            if not whole:
                self._counts["broken off"] += 1
            self._figures.count_response(job.service, 200 if whole else 502)

        def cut_off() -> None:
            # Guard: a server that hung held its caller for 10 s, past the time by which it is owed an end.
            if not over and not job.call.cut_off(CUT_OFF_S):
                self._loop.call_later(CUT_OFF_S, cut_off)

        if not job.call.coming and not self._classes[job.service].stream:
            self._loop.call_at(job.give_up_at + CUT_OFF_S, cut_off)
        job.call.begin(length, rest, on_end)

    def _end(self, job: Job) -> None:
        job.done = True
        self.open -= 1
        if job.call.coming:
            self.coming -= 1
        if job.backstop is not None:
            job.backstop.cancel()
        for attempt in job.attempts:
            if attempt is not None:
                # Guard: where cancelling is not allowed the module gives up none, and one that still
                # connected was written after its caller had gone. Nothing that was written is cancelled.
                attempt.withdraw(AttemptResult.ABANDONED)
        self.forget(job)

    def forget(self, job: Job) -> None:
        """Let go of it, if it is over and no attempt is out."""
        if job.done and not job.out and self.held.pop(job.id, None) is not None:
            safe = self._classes[job.service].effect is Effect.IDEMPOTENT
            if job.left and job.may_have_run and not safe:
                self._left.add(job.id)
                self._loop.call_at(job.give_up_at, self._left.discard, job.id)
