"""The decision module's driver: events go in one at a time, actions that come out are carried out."""

from __future__ import annotations

import asyncio
import logging
from collections import Counter, deque
from collections.abc import Callable

from loadbalancer.balancing import Balancer
from loadbalancer.balancing.actions import Action, Cancel, Fail, Reject, Send, SetTimer, Watch
from loadbalancer.balancing.events import AttemptOutcome, Event, Request, RequestCancelled, TimerFired
from loadbalancer.node.attempt_dispatcher import AttemptDispatcher
from loadbalancer.node.clock import Clock
from loadbalancer.node.discovery.watcher import EndpointListWatcher
from loadbalancer.node.request_registry import RequestRegistry

log = logging.getLogger("loadbalancer")

FAULT_PAUSE_S = 0.5  # before an alarm is tried again that a fault of the module has lost


class BalancerDriver:
    """Owns the module, the events that wait for it and the alarms that it has asked for."""

    def __init__(
        self,
        balancer: Balancer,
        clock: Clock,
        requests: RequestRegistry,
        attempts: AttemptDispatcher,
        watcher: EndpointListWatcher,
        counts: Counter[str],
    ) -> None:
        self.balancer = balancer
        self._loop = asyncio.get_running_loop()
        self._clock = clock
        self._requests = requests
        self._attempts = attempts
        self._watcher = watcher
        self._counts = counts
        self.before_event: list[Callable[[], None]] = []  # what has to be on time before an event is decided
        self._events: deque[Event] = deque()
        self._is_handling = False
        self._timers: dict[str, asyncio.TimerHandle] = {}

    def handle_event(self, event: Event) -> None:
        """Give the module an event and carry out what it says; events that come of that wait their turn."""
        if not self._is_handling:
            for be_on_time in self.before_event:
                be_on_time()
        self._events.append(event)
        if self._is_handling:
            return
        self._is_handling = True
        try:
            while self._events:
                event = self._events.popleft()
                for action in self._decide(event):
                    self._carry_out(action)
        finally:
            self._is_handling = False

    def close(self) -> None:
        for alarm in self._timers.values():
            alarm.cancel()

    def _decide(self, event: Event) -> list[Action]:
        try:
            return self.balancer.handle(self._clock.ms(), event)
        except Exception:
            # Guard: a fault of the module must leave no caller without an answer, nor stop its clockwork.
            log.exception("the decision module failed on %s", type(event).__name__)
            self._counts["faults"] += 1
            self._recover_from(event)
            return []

    def _recover_from(self, event: Event) -> None:
        """Do in the module's place what nobody else would do after it has lost this event."""
        if isinstance(event, Request | AttemptOutcome):
            job = self._requests.get(event.id)
            if job is not None and not job.answered and not job.attempts_in_flight:
                self._requests.respond(job, 500)
                self._events.append(RequestCancelled(event.id))
        elif isinstance(event, TimerFired):
            self._set_timer(FAULT_PAUSE_S, event.name)

    def _carry_out(self, action: Action) -> None:
        match action:
            case Send():
                self._attempts.send(action)
            case Reject():
                self._requests.reject(action)
            case Fail():
                self._requests.fail(action)
            case Cancel():
                self._attempts.cancel(action)
            case SetTimer():
                self._set_timer(action.delay_ms / 1000.0, action.name)
            case Watch():
                self._watcher.start()

    def _set_timer(self, delay_s: float, name: str) -> None:
        self._timers[name] = self._loop.call_later(delay_s, self.handle_event, TimerFired(name))
