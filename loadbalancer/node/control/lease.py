"""The node's lease, carried out: calls to the list service when the enrolment core asks for them, and its
news."""

from __future__ import annotations

import asyncio
import logging
import math
from collections.abc import Callable
from typing import Any

import orjson

from loadbalancer.membership import Call, Enrolment
from loadbalancer.membership.messages import LeaseAnswer
from loadbalancer.node.control.registry_client import RegistryClient, decode_lease_answer
from loadbalancer.node.control.timers import BackgroundTasks, MembershipClock, RestartableTimer
from loadbalancer.staleness import ClockOffsets

log = logging.getLogger("loadbalancer")

REGISTRY_PEER = "service"  # the list service among the peers whose clocks are known
# Of each watch for a change of members or routes. One that a cut leaves hanging costs little: the answers to
# renewals tell of the same changes.
WATCH_MS = 20_000.0
WATCH_SLACK_MS = 1_500.0
WATCH_PAUSE_S = 0.5  # after a watch that failed
LEAVE_S = 0.5  # a process that ends waits no longer for the list service to know


class LeaseClient:
    """`on_answer(now, answer)` hears every answer that was used, `on_gone(now)` that the service has no row
    of this process any more, `on_share()` that what the node may take has changed or may have."""

    def __init__(
        self, core: Enrolment, agent: RegistryClient, clock: MembershipClock, offsets: ClockOffsets
    ) -> None:
        self.core = core
        self.on_answer: Callable[[float, LeaseAnswer], None] = lambda now, answer: None
        self.on_lease_lost: Callable[[float], None] = lambda now: None
        self.on_quota_change: Callable[[], None] = lambda: None
        self.failures = 0
        self._failing = False
        self._agent, self._clock, self._offsets = agent, clock, offsets
        self._alarm = RestartableTimer(self._tick)
        self._tasks = BackgroundTasks()
        self._left = asyncio.Event()
        self._term = 0
        self._revisions = (0, 0)  # members' and routes', as last told

    def start(self) -> None:
        self._tick()
        self._tasks.spawn(self._watch())

    def close(self) -> None:
        self._alarm.cancel()
        self._tasks.close()

    def service_ms(self, now: float) -> tuple[float, float] | None:
        """Service time now, as an interval; None until the service has answered."""
        return self._offsets.to_peer(REGISTRY_PEER, now, now)

    def begin_drain(self) -> None:
        """The node drains."""
        self.core.leaving(self._clock.now_ms())
        self._tick()

    async def leave(self) -> None:
        """The last request has its answer: this process takes no share from here on."""
        if self.core.incarnation is None:
            return
        self.core.leave(self._clock.now_ms())
        self.on_quota_change()
        self._tick()
        try:
            async with asyncio.timeout(LEAVE_S):
                await self._left.wait()
        except TimeoutError:
            log.warning("fleet: the list service has not heard that this node leaves; its lease will lapse")

    def _tick(self) -> None:
        now = self._clock.now_ms()
        service = self.service_ms(now)
        call = self.core.tick(now, None if service is None else sum(service) / 2)
        if call is not None:
            self._tasks.spawn(self._make(call))
        due = self.core.due()
        if due < math.inf:
            self._alarm.schedule(self._clock.loop_time(max(due, now)))

    async def _make(self, call: Call) -> None:
        sent = self._clock.now_ms()
        try:
            reply = await self._agent.post(call.path, call.body, call.timeout_ms)
            now = self._clock.now_ms()
            if reply.status == 404 and call.path == "renew":
                self._gone(now, call)
            elif reply.status == 409 and call.path == "enrol":
                self._refused(now, call, reply.body)
            elif reply.status != 200:
                self._failed(now, call, f"answered {reply.status}")
            elif call.path in ("enrol", "renew"):
                self._use(sent, now, call, decode_lease_answer(reply.body))
            else:
                self.core.acknowledged(now, call.number)
                if call.path == "leave":
                    self._left.set()
        except (OSError, TimeoutError, ValueError) as error:
            self._failed(self._clock.now_ms(), call, f"{type(error).__name__}: {error}")
        self._tick()

    def _use(self, sent: float, now: float, call: Call, answer: LeaseAnswer) -> None:
        if answer.term != self._term:  # service time goes on by another clock, some ms off the last one
            self._offsets.forget(REGISTRY_PEER)
            self._term = answer.term
        self._offsets.add_sample(REGISTRY_PEER, sent, answer.t2, answer.t3, now)
        if not self.core.granted(now, call.number, answer, answer.ttl_ms):
            self.failures += 1
            return
        if self._failing:
            log.info("fleet: the list service answers again, incarnation %d", answer.incarnation)
        self._failing = False
        self.on_answer(now, answer)
        self.on_quota_change()

    def _gone(self, now: float, call: Call) -> None:
        log.warning("fleet: the list service has no row of this process; it enrols anew")
        self.core.failed(now, call.number, unknown=True)
        self.on_lease_lost(now)
        self.on_quota_change()

    def _failed(self, now: float, call: Call, why: str) -> None:
        self._note_failure(f"{call.path} failed, the last answer holds while its lease runs: {why[:200]}")
        self.core.failed(now, call.number)
        self.on_quota_change()

    def _refused(self, now: float, call: Call, body: bytes) -> None:
        self._note_failure(f"not enrolled, it takes no further member: {body[:200]!r}")
        self.core.refused(now, call.number)

    def _note_failure(self, what: str) -> None:
        self.failures += 1
        if not self._failing:  # once for each stretch of failures
            log.warning("fleet: %s", what)
        self._failing = True

    # ------------------------------------------------------------------------- news

    def set_revisions(self, members: int, routes: int) -> None:
        """The revisions that the last answer showed."""
        self._revisions = members, routes

    async def _watch(self) -> None:
        """A hint that something has changed makes the next renewal come soon; what has changed, its answer
        tells."""
        while True:
            members, routes = self._revisions
            target = (
                f"watch?since={members}&routes_since={routes}"
                f"&incarnation={self.core.incarnation or 0}&timeout_ms={WATCH_MS:.0f}"
            )
            try:
                reply = await self._agent.get(target, WATCH_MS + WATCH_SLACK_MS)
                row: Any = orjson.loads(reply.body)
                if reply.status != 200 or not isinstance(row, dict):
                    raise ValueError(f"watch answered {reply.status}")
            except (OSError, TimeoutError, ValueError):
                await asyncio.sleep(WATCH_PAUSE_S)
                continue
            if (row.get("rev"), row.get("routes_rev")) != self._revisions:
                self.core.news(self._clock.now_ms())
                self._tick()
                await self._renewed()

    async def _renewed(self) -> None:
        """Wait for the renewal that the news has called for, so that the next watch asks from there."""
        before = self._revisions
        for _ in range(10):
            await asyncio.sleep(0.05)
            if self._revisions != before:
                return
