"""The decision module's driver: events go in one at a time, actions that come out are carried out."""

from __future__ import annotations

import asyncio
import logging
from collections import Counter, deque
from collections.abc import Callable

from loadbalancer.balancing import Balancer
from loadbalancer.balancing.actions import Action, Cancel, Fail, Reject, Send, SetTimer, Watch
from loadbalancer.balancing.events import AttemptOutcome, Event, Request, RequestCancelled, TimerFired
from loadbalancer.node.attempts import Attempts
from loadbalancer.node.clock import Clock
from loadbalancer.node.discovery.watcher import EndpointListWatcher
from loadbalancer.node.request_registry import Jobs

log = logging.getLogger("loadbalancer")

FAULT_PAUSE_S = 0.5  # before an alarm is tried again that a fault of the module has lost


class Driver:
    """Owns the module, the events that wait for it and the alarms that it has asked for."""

    def __init__(
        self,
        balancer: Balancer,
        clock: Clock,
        jobs: Jobs,
        attempts: Attempts,
        watcher: EndpointListWatcher,
        counts: Counter[str],
    ) -> None:
        self.balancer = balancer
        self._loop = asyncio.get_running_loop()
        self._clock = clock
        self._jobs = jobs
        self._attempts = attempts
        self._watcher = watcher
        self._counts = counts
        self.before: list[Callable[[], None]] = []  # what has to be on time before an event is decided
        self._events: deque[Event] = deque()
        self._deciding = False
        self._alarms: dict[str, asyncio.TimerHandle] = {}

    def tell(self, event: Event) -> None:
        """Give the module an event and carry out what it says; events that come of that wait their turn."""
        if not self._deciding:
            for be_on_time in self.before:
                be_on_time()
        self._events.append(event)
        if self._deciding:
            return
        self._deciding = True
        try:
            while self._events:
                event = self._events.popleft()
                for action in self._decide(event):
                    self._act(action)
        finally:
            self._deciding = False

    def close(self) -> None:
        for alarm in self._alarms.values():
            alarm.cancel()

    def _decide(self, event: Event) -> list[Action]:
        try:
            return self.balancer.handle(self._clock.unix_ms(), event)
        except Exception:
            # Guard: a fault of the module must leave no caller without an answer, nor stop its clockwork.
            log.exception("the decision module failed on %s", type(event).__name__)
            self._counts["faults"] += 1
            self._make_good(event)
            return []

    def _make_good(self, event: Event) -> None:
        """Do in the module's place what nobody else would do after it has lost this event."""
        if isinstance(event, Request | AttemptOutcome):
            job = self._jobs.get(event.id)
            if job is not None and not job.done and not job.out:
                self._jobs.answer(job, 500)
                self._events.append(RequestCancelled(event.id))
        elif isinstance(event, TimerFired):
            self._wake(FAULT_PAUSE_S, event.name)

    def _act(self, action: Action) -> None:
        match action:
            case Send():
                self._attempts.send(action)
            case Reject():
                self._jobs.refuse(action)
            case Fail():
                self._jobs.fail(action)
            case Cancel():
                self._attempts.cancel(action)
            case SetTimer():
                self._wake(action.delay_ms / 1000.0, action.name)
            case Watch():
                self._watcher.start()

    def _wake(self, delay_s: float, name: str) -> None:
        self._alarms[name] = self._loop.call_later(delay_s, self.tell, TimerFired(name))
