"""The balancer of one node: takes each event to the part whose job it is."""

from __future__ import annotations

from random import Random

from loadbalancer.balancing import cursor_table as table
from loadbalancer.balancing import endpoints as servers
from loadbalancer.balancing import fleet_control as fleet
from loadbalancer.balancing import learned_state as learning
from loadbalancer.balancing import load_estimate as load
from loadbalancer.balancing import outliers as health
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
from loadbalancer.balancing.retries import Attempts
from loadbalancer.balancing.state import Peer, State
from loadbalancer.endpoints import RouteVersion
from loadbalancer.service_settings import Settings


class Balancer:
    """One node's decisions. Times are ms on a clock that only advances; the same seed and events give the
    same actions. Raises KeyError for a request of a class that the settings don't name."""

    def __init__(self, settings: Settings, seed: int, now_ms: float) -> None:
        self.state = state = State(settings, Random(seed))
        self.cfg, self.kinds, self.period_ms, self.jobs = settings, state.kinds, state.period_ms, state.jobs
        self.admission = Admission(state, now_ms)
        self.attempts = Attempts(state, self.admission)
        self.begun = False

    def handle(self, now: float, event: Event) -> list[Action]:
        acts: list[Action] = []
        self.state.now = now
        if not self.begun:
            self.begun = True
            acts.append(SetTimer(self.period_ms, "period"))
            if self.cfg.poll_discovery:
                acts.append(Watch())
        match event:
            case Request():
                self.attempts.requested(now, event, acts)
            case AttemptOutcome():
                self.attempts.returned(now, event, acts)
            case RequestReceived():
                self.attempts.arrived(now, event)
            case RequestCancelled():
                self.attempts.lapsed(event, acts)
            case StreamStarted():
                self.attempts.started(event, acts)
            case TimerFired(name="period"):
                acts.append(SetTimer(self.period_ms, "period"))
                load.end_period(self.state, now)
            case TimerFired(name="watch"):
                acts.append(Watch())
            case HealthCheckCompleted():
                health.hear(self.state, now, event.server, event.load_report)
            case EndpointListUpdate():
                servers.listed(self.state, event, acts)
            case EndpointEjected():
                servers.taken_out(self.state, event)
            case EndpointRestored():
                servers.brought_back(self.state, event)
            case SiblingProcessLoad():
                servers.held_beside(self.state, event)
            case LearnedState():
                learning.learn(self.state, now, event)
            case StateRestored():
                learning.restore(self.state, now, event)
            case QuotaGrant():
                fleet.shared(self.state, event)
            case ConfidenceUpdate():
                fleet.marked(self.state, event)
            case RouteVersion():
                fleet.switched(self.state, event)
        return acts

    @property
    def cursor(self) -> int:
        return self.state.cursor

    @property
    def peers(self) -> dict[str, Peer]:
        return self.state.peers

    @property
    def ready(self) -> list[Peer]:
        return self.state.ready

    @property
    def avoided(self) -> int:
        """Listed servers that get nothing new, by hand or by choice."""
        return sum(1 for address in self.peers if address in self.state.out_by_hand)

    def threshold(self, worth: float, ready: int) -> float:
        """Calls in flight to `ready` servers at which one of this worth (1: the most) is refused."""
        return table.threshold(self.state, worth, ready)

    def learned(self) -> LearnedState:
        """What a process that starts beside this one may start from."""
        return learning.learned(self.state)

    def pool(self) -> tuple[float, int, float]:
        """The pool as it stands here: calls in flight, the cursor and the threshold of the highest worth."""
        ready = self.state.ready
        return sum(peer.held for peer in ready), self.state.cursor, self.threshold(1.0, len(ready))

    def held(self) -> dict[str, float]:
        """The calls in flight from here, by server."""
        return {address: peer.load for address, peer in self.peers.items() if peer.load > 0.0}

    def figures(self) -> str:
        """What moved the cursor and turned calls away since this was last asked, and where both stand."""
        state = self.state
        said = ", ".join(f"{name} {count}" for name, count in sorted(state.tally.items())) or "idle"
        state.tally.clear()
        util = "-" if state.util is None else f"{state.util:.2f}"
        return (
            f"{said}; cursor {state.cursor}, threshold {self.threshold(1.0, len(state.ready)):.1f}, "
            f"in flight {sum(peer.held for peer in state.ready):.1f}, ready {len(state.ready)}, "
            f"latency {state.level:.3f} over base {state.base or 0.0:.3f}, utilisation {util}"
        )
