"""Two-phase activation, carried out: texts fetched and stored, votes cast, the switch made at its moment."""

from __future__ import annotations

import asyncio
import logging
import math
from collections.abc import Callable, Sequence

from loadbalancer.balancing.events import Event
from loadbalancer.membership.messages import LeaseAnswer
from loadbalancer.node.control.registry_client import Agent
from loadbalancer.node.control.route_store import RouteStore
from loadbalancer.node.control.timers import Alarm, FleetClock, Tasks
from loadbalancer.routing import Action, Apply, CastVote, Delete, Fetch, RouteParticipant, Store

log = logging.getLogger("loadbalancer")

CALL_MS = 2_000.0
LATE_MS = 50.0  # a switch so much after its moment is worth a line


class Routing:
    def __init__(
        self,
        core: RouteParticipant,
        agent: Agent,
        clock: FleetClock,
        store: RouteStore | None,
        tell: Callable[[Event], None],
    ) -> None:
        self.core = core
        self.switches = 0
        self.latest_ms = 0.0  # how long after its moment the last switch was made
        self._agent, self._clock, self._store, self._tell = agent, clock, store, tell
        self._alarm = Alarm(self._tick)
        self._due = math.inf  # when a switch, or the end of the lease, is due by this clock
        self._tasks = Tasks()

    def start(self) -> None:
        if self._store is not None:
            self.carry_out(self.core.on_restored(self._store.read()))

    def close(self) -> None:
        self._alarm.cancel()
        self._tasks.close()
        if self._store is not None:
            self._store.close()

    def answered(
        self, now: float, lease_end: float, service: tuple[float, float], answer: LeaseAnswer
    ) -> None:
        """What a renewal's answer says of routes; one that is malformed changes nothing and says so."""
        try:
            self.carry_out(self.core.on_answer(now, answer.incarnation, lease_end, service, answer.routes))
        except ValueError as error:
            log.warning("routes: an answer is not used: %s", error)

    def carry_out(self, actions: Sequence[Action]) -> None:
        for action in actions:
            match action:
                case Fetch():
                    self._tasks.run(self._fetch(action.number))
                case Store():
                    self._tasks.run(self._write(action))
                case CastVote():
                    self._tasks.run(self._vote(action))
                case Delete():
                    if self._store is not None:
                        self._store.forget(action.number)
                case Apply():
                    self._apply(action)
        due = self.core.next_tick_ms(self._clock.ms())
        if due is None:
            self._due = math.inf
            self._alarm.cancel()
        else:
            self._due = due
            self._alarm.at(self._clock.loop_time(due))

    def on_time(self) -> None:
        """Before each event of the module: after a stop of the process the loop hands on what has come in
        before it looks at its timers, and a request must not be admitted under a version that has ended."""
        if self._due <= self._clock.ms():
            self._due = math.inf  # what is told of it here asks again
            self._tick()

    def _tick(self) -> None:
        self.carry_out(self.core.tick(self._clock.ms()))

    def _apply(self, action: Apply) -> None:
        self._tell(action.event)
        self.switches += 1
        self.latest_ms = max(0.0, self._clock.ms() - action.due_ms)
        said = log.warning if self.latest_ms > LATE_MS else log.info
        said("routes: version %d from now on, %.1f ms after its moment", action.event.number, self.latest_ms)

    async def _fetch(self, number: int) -> None:
        text = None
        try:
            reply = await self._agent.get(f"routes/{number}", CALL_MS)
            if reply.status == 200:
                text = reply.body.decode()
        except (OSError, TimeoutError, ValueError) as error:
            log.warning("routes: version %d not fetched: %s", number, str(error)[:200])
        self.carry_out(self.core.on_fetched(self._clock.ms(), number, text))

    async def _write(self, action: Store) -> None:
        why = ""
        try:
            if self._store is None:
                raise OSError("the configuration names no folder for routes")
            await asyncio.wrap_future(self._store.write(action.number, action.text))
        except OSError as error:
            why = " ".join(str(error).split())[:200]
            log.error("routes: version %d not stored: %s", action.number, why)
        self.carry_out(self.core.on_stored(self._clock.ms(), action.number, not why, why))

    async def _vote(self, action: CastVote) -> None:
        body = {
            "incarnation": action.incarnation,
            "number": action.number,
            "yes": action.yes,
            "why": action.reason,
        }
        if not action.yes:
            log.warning("routes: version %d: this node votes no: %s", action.number, action.reason)
        try:
            reply = await self._agent.post("routes/vote", body, CALL_MS)
        except (OSError, TimeoutError):
            return  # asked for again at a later renewal's answer
        if reply.status == 200:
            self.core.on_vote_acknowledged(action.incarnation, action.number)
