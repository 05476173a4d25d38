"""Two-phase activation, carried out: texts fetched and stored, votes cast, the switch made at its moment."""

from __future__ import annotations

import asyncio
import logging
import math
from collections.abc import Callable, Sequence

from loadbalancer.balancing.events import Event
from loadbalancer.membership.messages import LeaseAnswer
from loadbalancer.node.control.registry_client import RegistryClient
from loadbalancer.node.control.route_store import RouteStore
from loadbalancer.node.control.timers import BackgroundTasks, MembershipClock, RestartableTimer
from loadbalancer.routing import Action, Apply, Fetch, Follower, Forget, Store, Vote

log = logging.getLogger("loadbalancer")

CALL_MS = 2_000.0
LATE_MS = 50.0  # a switch so much after its moment is worth a line


class RouteActivator:
    def __init__(
        self,
        core: Follower,
        agent: RegistryClient,
        clock: MembershipClock,
        store: RouteStore | None,
        tell: Callable[[Event], None],
    ) -> None:
        self.core = core
        self.switches = 0
        self.last_delay_ms = 0.0  # how long after its moment the last switch was made
        self._agent, self._clock, self._store, self._tell = agent, clock, store, tell
        self._alarm = RestartableTimer(self._tick)
        self._due = math.inf  # when a switch, or the end of the lease, is due by this clock
        self._tasks = BackgroundTasks()

    def start(self) -> None:
        if self._store is not None:
            self.carry_out(self.core.restored(self._store.load_all()))

    def close(self) -> None:
        self._alarm.cancel()
        self._tasks.close()
        if self._store is not None:
            self._store.close()

    def on_lease_answer(
        self, now: float, lease_end: float, service: tuple[float, float], answer: LeaseAnswer
    ) -> None:
        """What a renewal's answer says of routes; one that is malformed changes nothing and says so."""
        try:
            self.carry_out(self.core.answer(now, answer.incarnation, lease_end, service, answer.routes))
        except ValueError as error:
            log.warning("routes: an answer is not used: %s", error)

    def carry_out(self, actions: Sequence[Action]) -> None:
        for action in actions:
            match action:
                case Fetch():
                    self._tasks.spawn(self._fetch(action.number))
                case Store():
                    self._tasks.spawn(self._write(action))
                case Vote():
                    self._tasks.spawn(self._vote(action))
                case Forget():
                    if self._store is not None:
                        self._store.remove(action.number)
                case Apply():
                    self._apply(action)
        due = self.core.next_due(self._clock.now_ms())
        if due is None:
            self._due = math.inf
            self._alarm.cancel()
        else:
            self._due = due
            self._alarm.schedule(self._clock.loop_time(due))

    def run_if_due(self) -> None:
        """Before each event of the module: after a stop of the process the loop hands on what has come in
        before it looks at its timers, and a request must not be admitted under a version that has ended."""
        if self._due <= self._clock.now_ms():
            self._due = math.inf  # what is told of it here asks again
            self._tick()

    def _tick(self) -> None:
        self.carry_out(self.core.tick(self._clock.now_ms()))

    def _apply(self, action: Apply) -> None:
        self._tell(action.event)
        self.switches += 1
        self.last_delay_ms = max(0.0, self._clock.now_ms() - action.due)
        said = log.warning if self.last_delay_ms > LATE_MS else log.info
        said(
            "routes: version %d from now on, %.1f ms after its moment",
            action.event.number,
            self.last_delay_ms,
        )

    async def _fetch(self, number: int) -> None:
        text = None
        try:
            reply = await self._agent.get(f"routes/{number}", CALL_MS)
            if reply.status == 200:
                text = reply.body.decode()
        except (OSError, TimeoutError, ValueError) as error:
            log.warning("routes: version %d not fetched: %s", number, str(error)[:200])
        self.carry_out(self.core.fetched(self._clock.now_ms(), number, text))

    async def _write(self, action: Store) -> None:
        why = ""
        try:
            if self._store is None:
                raise OSError("the configuration names no folder for routes")
            await asyncio.wrap_future(self._store.write(action.number, action.text))
        except OSError as error:
            why = " ".join(str(error).split())[:200]
            log.error("routes: version %d not stored: %s", action.number, why)
        self.carry_out(self.core.stored(self._clock.now_ms(), action.number, not why, why))

    async def _vote(self, action: Vote) -> None:
        body = {
            "incarnation": action.incarnation,
            "number": action.number,
            "yes": action.yes,
            "why": action.why,
        }
        if not action.yes:
            log.warning("routes: version %d: this node votes no: %s", action.number, action.why)
        try:
            reply = await self._agent.post("routes/vote", body, CALL_MS)
        except (OSError, TimeoutError):
            return  # asked for again at a later renewal's answer
        if reply.status == 200:
            self.core.voted(action.incarnation, action.number)
