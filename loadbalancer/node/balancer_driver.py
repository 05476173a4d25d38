"""Event loop side of the balancer: passes it one event at a time and executes the actions it returns."""

from __future__ import annotations

import asyncio
import logging
from collections import Counter, deque
from collections.abc import Callable
from http import HTTPStatus

from loadbalancer.balancing import Balancer
from loadbalancer.balancing.actions import Action, Cancel, Fail, Reject, Send, SetTimer, Watch
from loadbalancer.balancing.events import AttemptOutcome, Event, Request, RequestCancelled, TimerFired
from loadbalancer.node.attempt_dispatcher import AttemptDispatcher
from loadbalancer.node.clock import Clock
from loadbalancer.node.discovery.watcher import EndpointListWatcher
from loadbalancer.node.request_registry import RequestRegistry

log = logging.getLogger("loadbalancer")

TIMER_RETRY_DELAY_S = 0.5  # until a timer whose event the balancer failed to handle fires again


class BalancerDriver:
    """Owns the balancer, the queue of its events, and its timers."""

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
        self.before_event: list[Callable[[], None]] = []  # called before events that no action caused
        self._events: deque[Event] = deque()
        self._is_handling = False
        self._closed = False
        self._timers: dict[str, asyncio.TimerHandle] = {}

    def handle_event(self, event: Event) -> None:
        """Pass an event to the balancer and execute its actions; events caused by the actions are queued.

        Ignore it after `close`.
        """
        if self._closed:
            return
        if not self._is_handling:
            for hook in self.before_event:
                hook()
        self._events.append(event)
        if self._is_handling:
            return
        self._is_handling = True
        try:
            while self._events:
                event = self._events.popleft()
                for action in self._decide(event):
                    self._execute(action)
        finally:
            self._is_handling = False

    def close(self) -> None:
        """Cancel the timers, and ignore all further events: no request is admitted any more."""
        self._closed = True
        for timer in self._timers.values():
            timer.cancel()

    def _decide(self, event: Event) -> list[Action]:
        """Return the balancer's actions for an event, or none if the balancer raises.

        After an exception, the client still gets a response and the balancer's timers keep running.
        """
        try:
            return self.balancer.handle(self._clock.unix_ms(), event)
        except Exception:
            log.exception("the balancer failed to handle %s", type(event).__name__)
            self._counts["balancer faults"] += 1
            self._recover_from(event)
            return []

    def _recover_from(self, event: Event) -> None:
        """Respond to the request, or set the timer again, of an event that the balancer failed to handle."""
        if isinstance(event, Request | AttemptOutcome):
            active = self._requests.get(event.id)
            if active is not None and not active.answered and not active.attempts_in_flight:
                self._requests.respond(active, HTTPStatus.INTERNAL_SERVER_ERROR)
                self._events.append(RequestCancelled(event.id))
        elif isinstance(event, TimerFired):
            self._set_timer(TIMER_RETRY_DELAY_S, event.name)

    def _execute(self, action: Action) -> None:
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
