"""The balancer of one node: takes each event to the part whose job it is."""

from __future__ import annotations

from random import Random

from loadbalancer import interface as api
from loadbalancer.balancing import cursor_table as table
from loadbalancer.balancing import endpoints as servers
from loadbalancer.balancing import fleet_control as fleet
from loadbalancer.balancing import learned_state as learning
from loadbalancer.balancing import load_estimate as load
from loadbalancer.balancing import outliers as health
from loadbalancer.balancing.admission import Admission
from loadbalancer.balancing.retries import Attempts
from loadbalancer.balancing.state import Peer, State


class Balancer:
    """One node's decisions. Times are ms on a clock that only advances; the same seed and events give the
    same actions. Raises KeyError for a request of a class that the settings don't name."""

    def __init__(self, settings: api.Settings, seed: int, now_ms: float) -> None:
        self.state = state = State(settings, Random(seed))
        self.cfg, self.kinds, self.period_ms, self.jobs = settings, state.kinds, state.period_ms, state.jobs
        self.admission = Admission(state, now_ms)
        self.attempts = Attempts(state, self.admission)
        self.begun = False

    def handle(self, now: float, event: api.Event) -> list[api.Action]:
        acts: list[api.Action] = []
        self.state.now = now
        if not self.begun:
            self.begun = True
            acts.append(api.Wake(self.period_ms, "period"))
            if self.cfg.ask_discovery:
                acts.append(api.Watch())
        match event:
            case api.Request():
                self.attempts.requested(now, event, acts)
            case api.Outcome():
                self.attempts.returned(now, event, acts)
            case api.Arrived():
                self.attempts.arrived(now, event)
            case api.Lapsed():
                self.attempts.lapsed(event, acts)
            case api.Started():
                self.attempts.started(event, acts)
            case api.Alarm(name="period"):
                acts.append(api.Wake(self.period_ms, "period"))
                load.end_period(self.state, now)
            case api.Alarm(name="watch"):
                acts.append(api.Watch())
            case api.Probed():
                health.hear(self.state, now, event.server, event.report)
            case api.Membership():
                servers.listed(self.state, event, acts)
            case api.TakenOut():
                servers.taken_out(self.state, event)
            case api.BroughtBack():
                servers.brought_back(self.state, event)
            case api.Beside():
                servers.held_beside(self.state, event)
            case api.Learned():
                learning.learn(self.state, now, event)
            case api.Restored():
                learning.restore(self.state, now, event)
            case api.Siblings():
                fleet.shared(self.state, event)
            case api.Marks():
                fleet.marked(self.state, event)
            case api.RouteVersion():
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

    def learned(self) -> api.Learned:
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
