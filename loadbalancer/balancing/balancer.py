"""The balancer of one node: takes each event to the part whose job it is."""

from __future__ import annotations

from random import Random

from loadbalancer.balancing import cursor_table as table
from loadbalancer.balancing import endpoint_set as servers
from loadbalancer.balancing import fleet_control as fleet
from loadbalancer.balancing import learned_state as learning
from loadbalancer.balancing import load_estimate as load
from loadbalancer.balancing import outcome_statistics as health
from loadbalancer.balancing.actions import Action, SetTimer, Watch
from loadbalancer.balancing.admission import Admission
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


class Balancer:
    """One node's decisions. Times are ms on a clock that only advances; the same seed and events give the
    same actions. Raises KeyError for a request of a class that the settings don't name."""

    def __init__(self, settings: Settings, seed: int, now_ms: float) -> None:
        self.state = state = BalancerState(settings, Random(seed))
        self.settings, self.service_classes, self.period_ms, self.pending = (
            settings,
            state.service_classes,
            state.period_ms,
            state.pending,
        )
        self.admission = Admission(state, now_ms)
        self.requests = RequestLifecycle(state, self.admission)
        self.started = False

    def handle(self, now_ms: float, event: Event) -> list[Action]:
        actions: list[Action] = []
        self.state.now_ms = now_ms
        if not self.started:
            self.started = True
            actions.append(SetTimer(self.period_ms, "period"))
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
            case TimerFired(name="period"):
                actions.append(SetTimer(self.period_ms, "period"))
                load.end_period(self.state, now_ms)
            case TimerFired(name="watch"):
                actions.append(Watch())
            case HealthCheckCompleted():
                health.record_load_report(self.state, now_ms, event.server, event.load_report)
            case EndpointListUpdate():
                servers.update_list(self.state, event, actions)
            case EndpointEjected():
                servers.eject(self.state, event)
            case EndpointRestored():
                servers.restore(self.state, event)
            case SiblingProcessLoad():
                servers.set_sibling_load(self.state, event)
            case LearnedState():
                learning.import_state(self.state, now_ms, event)
            case StateRestored():
                learning.restore_state(self.state, now_ms, event)
            case QuotaGrant():
                fleet.apply_quota_grant(self.state, event)
            case ConfidenceUpdate():
                fleet.apply_confidence_update(self.state, event)
            case RouteVersion():
                fleet.apply_route_version(self.state, event)
        return actions

    @property
    def cursor(self) -> int:
        return self.state.cursor

    @property
    def endpoints(self) -> dict[str, EndpointState]:
        return self.state.endpoints

    @property
    def ready(self) -> list[EndpointState]:
        return self.state.ready

    @property
    def ejected_count(self) -> int:
        """Listed servers that get nothing new, by hand or by choice."""
        return sum(1 for address in self.endpoints if address in self.state.ejected)

    def threshold(self, priority: float, ready: int) -> float:
        """Calls in flight to `ready` servers at which one of this worth (1: the most) is refused."""
        return table.threshold(self.state, priority, ready)

    def learned_state(self) -> LearnedState:
        """What a process that starts beside this one may start from."""
        return learning.export_state(self.state)

    def pool(self) -> tuple[float, int, float]:
        """The pool as it stands here: calls in flight, the cursor and the threshold of the highest worth."""
        ready = self.state.ready
        in_flight = sum(peer.total_in_flight for peer in ready)
        return in_flight, self.state.cursor, self.threshold(1.0, len(ready))

    def in_flight(self) -> dict[str, float]:
        """The calls in flight from here, by server."""
        return {address: peer.in_flight for address, peer in self.endpoints.items() if peer.in_flight > 0.0}

    def summary(self) -> str:
        """What moved the cursor and turned calls away since this was last asked, and where both stand."""
        state = self.state
        said = ", ".join(f"{name} {count}" for name, count in sorted(state.counters.items())) or "idle"
        state.counters.clear()
        util = "-" if state.utilisation is None else f"{state.utilisation:.2f}"
        return (
            f"{said}; cursor {state.cursor}, threshold {self.threshold(1.0, len(state.ready)):.1f}, "
            f"in flight {sum(peer.total_in_flight for peer in state.ready):.1f}, ready {len(state.ready)}, "
            f"latency {state.latency_ratio:.3f} over base {state.baseline_ratio or 0.0:.3f}, "
            f"utilisation {util}"
        )
