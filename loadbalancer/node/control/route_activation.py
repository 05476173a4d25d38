"""Two-phase route activation: fetches and stores versions, votes, and switches at the decided time."""

from __future__ import annotations

import asyncio
import logging
import math
from collections.abc import Callable, Sequence
from http import HTTPStatus
from typing import Final

from loadbalancer.balancing.events import Event
from loadbalancer.membership.messages import LeaseResponse
from loadbalancer.node.control.background_tasks import BackgroundTasks
from loadbalancer.node.control.clock import MembershipClock
from loadbalancer.node.control.registry_client import RegistryClient
from loadbalancer.node.control.route_store import RouteStore
from loadbalancer.node.control.timers import RestartableTimer
from loadbalancer.node.failure_log import one_line
from loadbalancer.routing import Action, Apply, CastVote, Delete, Fetch, RouteParticipant, Store
from loadbalancer.staleness.clock_offsets import Interval

log = logging.getLogger("loadbalancer")

CALL_TIMEOUT_MS: Final = 2_000.0
LATE_SWITCH_MS: Final = 50.0  # a switch delayed by more than this is logged as a warning
MAX_LOGGED_CHARS: Final = 200  # of an error message


class RouteActivator:
    """Executes the actions of this node's participant in the two-phase activation."""

    def __init__(
        self,
        participant: RouteParticipant,
        client: RegistryClient,
        clock: MembershipClock,
        store: RouteStore | None,
        notify: Callable[[Event], None],
    ) -> None:
        """`notify` passes an event to the balancer.

        `store` is None if the configuration names no folder for routes; the node then prepares no versions.
        """
        self.participant = participant
        self.switches = 0
        self.last_delay_ms = 0.0  # delay of the last switch after its decided time
        self._client, self._clock, self._store, self._notify_balancer = client, clock, store, notify
        self._timer = RestartableTimer(self._tick)
        self._due_ms = math.inf  # time of the next switch or of the lease's expiry, whichever is first
        self._tasks = BackgroundTasks()

    def start(self) -> None:
        """Load the versions on disk."""
        if self._store is not None:
            self.execute(self.participant.on_restored(self._store.load_all()))

    def cancel(self) -> None:
        """Cancel calls and timers."""
        self._timer.cancel()
        self._tasks.close()

    def close(self) -> None:
        """Cancel calls and timers, and wait for a disk write in progress."""
        self.cancel()
        if self._store is not None:
            self._store.close()

    def on_lease_response(
        self, now: float, lease_end_ms: float, service_ms: Interval, response: LeaseResponse
    ) -> None:
        """Process the routes in a lease response; a malformed one is logged and ignored."""
        try:
            actions = self.participant.on_lease_response(
                now, response.incarnation, lease_end_ms, service_ms, response.routes
            )
            self.execute(actions)
        except ValueError as error:
            log.warning("routes: malformed lease response ignored: %s", error)

    def execute(self, actions: Sequence[Action]) -> None:
        """Execute the participant's actions in order."""
        for action in actions:
            self._execute_action(action)
        self._reschedule()

    def run_if_due(self) -> None:
        """Make a switch that is due. The balancer's driver calls this before each event.

        The timer alone is too late: after a process was suspended, the event loop handles input before
        timers, and no request may be admitted under a route version that is no longer in force.
        """
        if self._due_ms <= self._clock.now_ms():
            self._due_ms = math.inf  # prevents recursion: the switch passes an event to the balancer
            self._tick()

    # ------------------------------------------------------------- internals

    def _tick(self) -> None:
        self.execute(self.participant.tick(self._clock.now_ms()))

    def _execute_action(self, action: Action) -> None:
        match action:
            case Fetch():
                self._tasks.spawn(self._fetch(action.number))
            case Store():
                self._tasks.spawn(self._write(action))
            case CastVote():
                self._tasks.spawn(self._vote(action))
            case Delete():
                if self._store is not None:
                    self._store.remove(action.number)
            case Apply():
                self._apply(action)

    def _reschedule(self) -> None:
        due_ms = self.participant.next_tick_ms(self._clock.now_ms())
        if due_ms is None:
            self._due_ms = math.inf
            self._timer.cancel()
        else:
            self._due_ms = due_ms
            self._timer.schedule(self._clock.to_loop_time(due_ms))

    def _apply(self, action: Apply) -> None:
        self._notify_balancer(action.event)
        self.switches += 1
        self.last_delay_ms = max(0.0, self._clock.now_ms() - action.due_ms)
        log_switch = log.warning if self.last_delay_ms > LATE_SWITCH_MS else log.info
        log_switch(
            "routes: version %d in force, %.1f ms after its moment", action.event.number, self.last_delay_ms
        )

    async def _fetch(self, number: int) -> None:
        text = None
        try:
            response = await self._client.get(f"routes/{number}", CALL_TIMEOUT_MS)
            if response.status == HTTPStatus.OK:
                text = response.body.decode()
        except (OSError, TimeoutError, ValueError) as error:
            log.warning("routes: version %d not fetched: %s", number, one_line(error)[:MAX_LOGGED_CHARS])
        self.execute(self.participant.on_fetched(self._clock.now_ms(), number, text))

    async def _write(self, action: Store) -> None:
        problem = await self._write_to_disk(action)
        if problem:
            log.error("routes: version %d not stored: %s", action.number, problem)
        self.execute(self.participant.on_stored(self._clock.now_ms(), action.number, not problem, problem))

    async def _write_to_disk(self, action: Store) -> str:
        """Return "" once the version is on disk, or else a one-line reason why it can't be stored."""
        if self._store is None:
            return "the configuration names no folder for routes"
        try:
            await asyncio.wrap_future(self._store.write(action.number, action.text))
        except OSError as error:
            return one_line(error)[:MAX_LOGGED_CHARS]
        return ""

    async def _vote(self, action: CastVote) -> None:
        body = {
            "incarnation": action.incarnation,
            "number": action.number,
            "yes": action.yes,
            "why": action.reason,
        }
        if not action.yes:
            log.warning("routes: version %d rejected by this node's vote: %s", action.number, action.reason)
        try:
            response = await self._client.post("routes/vote", body, CALL_TIMEOUT_MS)
        except (OSError, TimeoutError):
            return  # the response to a later renewal requests the vote again
        if response.status == HTTPStatus.OK:
            self.participant.on_vote_acknowledged(action.incarnation, action.number)
