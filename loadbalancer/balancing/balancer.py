"""The balancer of one node: dispatches each event to the module that handles it."""

from __future__ import annotations

from random import Random
from typing import NamedTuple

from loadbalancer.balancing import (
    cursor_table,
    endpoint_set,
    fleet_control,
    learned_state,
    load_estimate,
    outcome_statistics,
)
from loadbalancer.balancing.actions import Action, SetTimer, Watch
from loadbalancer.balancing.admission import Admission
from loadbalancer.balancing.endpoint_set import WATCH_TIMER
from loadbalancer.balancing.events import (
    AttemptOutcome,
    ConfidenceUpdate,
    EndpointEjected,
    EndpointListUpdate,
    EndpointRestored,
    Event,
    HealthCheckCompleted,
    LearnedState,
    QuotaGrant,
    Request,
    RequestCancelled,
    RequestReceived,
    SiblingProcessLoad,
    StateRestored,
    StreamStarted,
    TimerFired,
)
from loadbalancer.balancing.request_lifecycle import RequestLifecycle
from loadbalancer.balancing.state import BalancerState, EndpointState
from loadbalancer.endpoints import RouteVersion
from loadbalancer.service_settings import Settings

PERIOD_TIMER = "period"  # ends each control period


class PoolStatus(NamedTuple):
    """The state of the pool from this balancer's point of view."""

    in_flight: float  # weight of the requests in flight to ready endpoints
    cursor: int
    threshold: float  # the threshold for the highest priority


class Balancer:
    """The load balancing decisions of one node.

    Times are in milliseconds of a monotonic clock; the same seed and events give the same actions.
    `handle` raises KeyError for a request of a class that the settings don't name.
    """

    def __init__(self, settings: Settings, seed: int, now_ms: float) -> None:
        self.state = BalancerState(settings, Random(seed))
        self.settings = settings
        self.service_classes = self.state.service_classes
        self.period_ms = self.state.period_ms
        self.pending = self.state.pending
        self.admission = Admission(self.state, now_ms)
        self.requests = RequestLifecycle(self.state, self.admission)
        self.started = False

    def handle(self, now_ms: float, event: Event) -> list[Action]:
        """Handle an event; return the resulting actions in the order in which to carry them out."""
        actions: list[Action] = []
        self.state.now_ms = now_ms
        if not self.started:
            self.started = True
            actions.append(SetTimer(self.period_ms, PERIOD_TIMER))
            if self.settings.poll_discovery:
                actions.append(Watch())
        match event:
            case Request():
                self.requests.on_request(now_ms, event, actions)
            case AttemptOutcome():
                self.requests.on_attempt_outcome(now_ms, event, actions)
            case RequestReceived():
                self.requests.on_request_received(now_ms, event)
            case RequestCancelled():
                self.requests.on_request_cancelled(event, actions)
            case StreamStarted():
                self.requests.on_stream_started(event, actions)
            case TimerFired():
                self._on_timer(now_ms, event, actions)
            case HealthCheckCompleted():
                outcome_statistics.record_load_report(self.state, now_ms, event.server, event.load_report)
            case _:
                self._on_control_event(now_ms, event, actions)
        return actions

    def _on_timer(self, now_ms: float, event: TimerFired, actions: list[Action]) -> None:
        if event.name == PERIOD_TIMER:
            actions.append(SetTimer(self.period_ms, PERIOD_TIMER))
            load_estimate.end_period(self.state, now_ms)
        elif event.name == WATCH_TIMER:
            actions.append(Watch())

    def _on_control_event(self, now_ms: float, event: Event, actions: list[Action]) -> None:
        """Handle an event that changes the endpoints in use or the limits."""
        match event:
            case EndpointListUpdate():
                endpoint_set.update_list(self.state, event, actions)
            case EndpointEjected():
                endpoint_set.eject(self.state, event)
            case EndpointRestored():
                endpoint_set.restore(self.state, event)
            case SiblingProcessLoad():
                endpoint_set.set_sibling_load(self.state, event)
            case LearnedState():
                learned_state.import_state(self.state, now_ms, event)
            case StateRestored():
                learned_state.restore_state(self.state, now_ms, event)
            case QuotaGrant():
                fleet_control.apply_quota_grant(self.state, event)
            case ConfidenceUpdate():
                fleet_control.apply_confidence_update(self.state, event)
            case RouteVersion():
                fleet_control.apply_route_version(self.state, event)

    @property
    def cursor(self) -> int:
        """The position in the threshold table; at 0, its left end, nothing is shed under normal load."""
        return self.state.cursor

    @property
    def endpoints(self) -> dict[str, EndpointState]:
        """The listed endpoints, by name."""
        return self.state.endpoints

    @property
    def ready(self) -> list[EndpointState]:
        """The endpoints to which new attempts may be sent."""
        return self.state.ready

    @property
    def ejected_count(self) -> int:
        """The number of listed endpoints that operators have ejected."""
        return sum(1 for name in self.endpoints if name in self.state.ejected)

    def threshold(self, priority: float, ready: int) -> float:
        """The weight in flight to `ready` endpoints at which this priority (0 to 1) is rejected."""
        return cursor_table.threshold(self.state, priority, ready)

    def learned_state(self) -> LearnedState:
        """The measurements from which another process of this node may start."""
        return learned_state.export_state(self.state)

    def pool(self) -> PoolStatus:
        """The weight in flight, the cursor and the threshold for the highest priority."""
        ready = self.state.ready
        in_flight = sum(endpoint.total_in_flight for endpoint in ready)
        return PoolStatus(in_flight, self.state.cursor, self.threshold(1.0, len(ready)))

    def in_flight(self) -> dict[str, float]:
        """Weight of the requests in flight from this process, by endpoint."""
        return {
            name: endpoint.in_flight for name, endpoint in self.endpoints.items() if endpoint.in_flight > 0.0
        }

    def summary(self) -> str:
        """One line for the log: the counts of cursor steps and rejections by reason since the previous
        summary, and the current state of the pool."""
        state = self.state
        counts = [f"{name} {count}" for name, count in sorted(state.counters.items())]
        state.counters.clear()
        utilisation = "-" if state.utilisation is None else f"{state.utilisation:.2f}"
        pool = self.pool()
        return (
            f"{', '.join(counts) or 'idle'}; cursor {pool.cursor}, threshold {pool.threshold:.1f}, "
            f"in flight {pool.in_flight:.1f}, ready {len(state.ready)}, "
            f"latency {state.latency_ratio:.3f} over base {state.baseline_ratio or 0.0:.3f}, "
            f"utilisation {utilisation}"
        )
