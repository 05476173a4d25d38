"""One request's way: taken or refused, sent, sent again where that is harmless, and answered once."""

from __future__ import annotations

from loadbalancer.balancing import endpoint_selection as ranking
from loadbalancer.balancing import outliers as health
from loadbalancer.balancing.actions import Action, Cancel, Fail, Reject, Send
from loadbalancer.balancing.admission import Admission
from loadbalancer.balancing.events import (
    AttemptOutcome,
    Request,
    RequestCancelled,
    RequestReceived,
    StreamStarted,
)
from loadbalancer.balancing.state import Job, State, Try
from loadbalancer.service_settings import Effect

AIM_MARGIN = 0.98  # attempts worth nothing late are given up at this share of the aim


class Attempts:
    def __init__(self, state: State, admission: Admission) -> None:
        self.state = state
        self.admission = admission

    def requested(self, now: float, request: Request, acts: list[Action]) -> None:
        state = self.state
        kind = state.kinds[request.service]
        job = state.jobs[request.id] = Job(request, kind, now, self.admission.units(request), state.version)
        full = self.admission.refuses(now, request, kind)
        if full or not self._send(now, job, acts):
            state.tally["refused at threshold" if full else "refused unsent"] += 1
            self._answer(job, acts)

    def arrived(self, now: float, event: RequestReceived) -> None:
        job = self.state.jobs.get(event.id)
        if job is None or job.done:
            return
        job.taken_ms = now
        job.request.receiving = False
        job.request.deadline_ms = event.deadline_ms
        for at, item in enumerate(job.tries):
            if item.result is None:
                item.sent_ms = now
                self._load(job, at)

    def started(self, event: StreamStarted, acts: list[Action]) -> None:
        job = self.state.jobs.get(event.id)
        if job is not None:
            job.streaming = True
            self._cancel_others(job, event.attempt, acts)

    def lapsed(self, event: RequestCancelled, acts: list[Action]) -> None:
        job = self.state.jobs.get(event.id)
        if job is not None:
            self._end(job, acts)

    def returned(self, now: float, event: AttemptOutcome, acts: list[Action]) -> None:
        state = self.state
        health.hear(state, now, event.server, event.load_report)
        job = state.jobs.get(event.id)
        if job is None or event.attempt >= len(job.tries) or job.tries[event.attempt].result is not None:
            return
        item = job.tries[event.attempt]
        item.result = event.result
        item.peer.load = max(0.0, item.peer.load - item.units)
        item.peer.out.pop((event.id, event.attempt), None)
        health.judge(state, now, job, item, event)
        if event.request_ended:
            job.streaming = False
            self._end(job, acts)
        elif job.done:
            self._end(job, acts)
        elif not job.out() and not self._send(now, job, acts):
            self._answer(job, acts)

    def _send(self, now: float, job: Job, acts: list[Action]) -> bool:
        state = self.state
        left = job.request.deadline_ms - now
        if job.kind.late_weight <= 0.0 and not job.kind.stream and job.kind.latency_objective_stretch <= 0.0:
            # Guard: late work is worth nothing, so it is stopped at the aim and does not crowd out the rest.
            # Where the aim moves with the work, which nobody tells, one past the bare aim may be in time.
            left = min(left, job.taken_ms + job.kind.latency_objective_ms * AIM_MARGIN - now)
        if job.done or left <= 1.0 or len(job.tries) >= state.cfg.max_attempts:
            return False
        peer = ranking.pick(state, now, job)
        if peer is None:
            return False
        written_by_ms = ranking.repeat_before(job)
        job.tries.append(Try(peer, now))
        self._load(job, len(job.tries) - 1)
        if peer.info.address in state.returns:
            state.returns[peer.info.address].tried = True
        acts.append(Send(job.request.id, peer.info.address, left, written_by_ms))
        return True

    def _load(self, job: Job, attempt: int) -> None:
        """Count an attempt in flight. One whose request is still coming in is no load on its server yet."""
        item = job.tries[attempt]
        # Guard: calls held the threshold for as long as their callers took to send them.
        item.units = 0.0 if job.request.receiving else job.units
        item.peer.load += item.units
        self.state.window.sent += item.units
        if item.units:
            item.peer.out[(job.request.id, attempt)] = item.sent_ms

    def _answer(self, job: Job, acts: list[Action]) -> None:
        """The one final answer: a refusal where it is true that a retry is harmless, else a failure."""
        state = self.state
        ran = job.may_have_run()
        if not ran or job.kind.effect is Effect.IDEMPOTENT:
            wait = 0.0
            if state.cfg.retry_after and state.cfg.tier == 0:
                wait = min(state.cfg.max_retry_after_ms, state.period_ms * state.cursor)
            acts.append(Reject(job.request.id, wait))
        else:
            acts.append(Fail(job.request.id))
        self._end(job, acts)

    def _end(self, job: Job, acts: list[Action]) -> None:
        if not job.done:
            job.done = True
            self._cancel_others(job, -1, acts)
        if not job.out():
            self.state.jobs.pop(job.request.id, None)

    def _cancel_others(self, job: Job, keep: int, acts: list[Action]) -> None:
        if self.state.cfg.may_cancel and not (job.streaming and keep < 0):
            out = (at for at, item in enumerate(job.tries) if item.result is None and at != keep)
            acts.extend(Cancel(job.request.id, at) for at in out)
