"""Cold servers fall under the sum of what all balancers send: work in any window of `tipAfterMs` against the
budget, `overloadFactor` times the capacity there was, with 2 x root of N + 2 calls put down to chance."""

from __future__ import annotations

import heapq
import itertools
import math
from collections import deque
from dataclasses import dataclass, field, replace
from random import Random
from typing import Any

import pytest

from loadbalancer.balancing import Balancer
from loadbalancer.balancing.actions import Action, Send, SetTimer
from loadbalancer.balancing.events import AttemptOutcome, EndpointListUpdate, Event, Request, TimerFired
from loadbalancer.endpoints import AttemptResult, Endpoint, EndpointListKind
from loadbalancer.service_settings import Effect, ServiceClass, Settings

CLASSES = tuple(
    ServiceClass(
        name, latency_objective_ms=1000.0, client_timeout_ms=3000.0, late_weight=0.5, effect=Effect.IDEMPOTENT
    )
    for name in ("short", "long")
)
WARM_UP_MS = 12000.0  # before the cold servers start
ANSWER_MS = 20.0  # for a call that need not wait: calls in flight then bound little
ROOM = 8  # calls that a server keeps waiting; it turns the rest away


@dataclass(frozen=True)
class Plan:
    """What the fleet, its servers and its callers are like."""

    nodes: int = 30
    servers: int = 10
    cold: int = 1  # of the servers, the first ones: in the balancers' zone, and so first in rank
    pace: float = 10.0  # calls of mean work that a warm server can serve in a second
    load: float = 0.8  # calls offered, as a share of what all the servers could serve when warm
    factor: float = 3.0
    cold_from: float = 0.3
    cold_ms: float = 6000.0
    tip_ms: float = 1000.0
    uneven: float = 1.0  # the busiest node's calls over the idlest one's
    late_ms: float = 0.0  # connections to cold servers come up together, this far apart
    fails: float = 0.0  # share of the attempts that end in an error once they have been served
    unequal: bool = False  # work of 1 : 4 by class, and a log-normal spread over calls
    lull_ms: float = 0.0  # hardly any calls for so long before the start
    rush: float = 1.0  # times the calls for a second, from a second after the start or from a lull's end

    def warmth(self, age_ms: float) -> float:
        return self.cold_from + (1.0 - self.cold_from) * min(1.0, max(0.0, age_ms / self.cold_ms))

    def calls(self, age_ms: float) -> float:
        """Times the ordinary calls at this age of the cold servers."""
        if -self.lull_ms <= age_ms < 0.0:
            return 0.01
        return self.rush if 0.0 <= age_ms - (0.0 if self.lull_ms else 1000.0) < 1000.0 else 1.0

    def budget(self, age_ms: float) -> float:
        """What the settings allow in the window that ends at this age, in calls of mean work."""
        steps = 20
        ages = (age_ms - self.tip_ms * (at + 0.5) / steps for at in range(steps))
        return self.factor * self.pace * self.tip_ms / 1000.0 * sum(map(self.warmth, ages)) / steps


@dataclass
class Machine:
    """A server: work in order, at the pace of its warmth."""

    born_ms: float = -math.inf
    free_ms: float = 0.0
    taken: list[tuple[float, float]] = field(default_factory=list)  # when and how much work reached it


class World:
    def __init__(self, plan: Plan, seed: int) -> None:
        self.plan, self.rng, self.ids = plan, Random(seed), itertools.count()
        self.due: list[tuple[float, int, Any]] = []
        self.start_ms = 0.0 if plan.cold == plan.servers else WARM_UP_MS
        self.machines = {f"s{at}": Machine() for at in range(plan.servers)}
        self.colds = list(self.machines)[: plan.cold]
        cfg = Settings(
            classes=CLASSES, siblings=plan.nodes, max_attempts=3, slow_start_from=plan.cold_from,
            slow_start_ms=plan.cold_ms, overload_factor=plan.factor, zone="a", cross_zone_price=0.05,
        )  # fmt: skip
        self.nodes = [Balancer(cfg, seed * 1000 + at, 0.0) for at in range(plan.nodes)]
        self.shares = [plan.uneven ** (at / max(1, plan.nodes - 1)) for at in range(plan.nodes)]
        self.work: dict[str, float] = {}

    def at(self, when: float, node: Balancer, event: Event) -> None:
        heapq.heappush(self.due, (when, next(self.ids), (node, event)))

    def run(self) -> World:
        """From the warm-up to the end of the slow start."""
        plan, end = self.plan, self.start_ms + self.plan.cold_ms
        lines = [Endpoint(name, "a" if name in self.colds else "b") for name in self.machines]
        started = tuple(replace(line, launched_ms=self.start_ms) for line in lines[: plan.cold])
        for node in self.nodes:
            self.at(0.0, node, EndpointListUpdate(EndpointListKind.CACHED, tuple(lines)))
            self.at(self.start_ms, node, EndpointListUpdate(EndpointListKind.DELTA, started))
        for name in self.colds:
            heapq.heappush(self.due, (self.start_ms, -1, name))
        self.ask(0.0)
        while self.due and self.due[0][0] < end:
            now, _, what = heapq.heappop(self.due)
            if what is None:
                self.ask(now)
            elif isinstance(what, str):
                self.machines[what].born_ms = self.machines[what].free_ms = now
            else:
                node, event = what
                for act in node.handle(now, event):
                    self.act(now, node, act)
        return self

    def ask(self, now: float) -> None:
        """One request at a node drawn by its share, and the time of the next."""
        plan, name = self.plan, f"q{next(self.ids)}"
        kind = self.rng.choice(CLASSES)
        work = (0.4 if kind.name == "short" else 1.6) if plan.unequal else 1.0
        self.work[name] = work * self.rng.lognormvariate(-0.125, 0.5) if plan.unequal else work
        (node,) = self.rng.choices(self.nodes, self.shares)
        self.at(now, node, Request(name, kind.name, now + kind.client_timeout_ms))
        gap = 1000.0 / (plan.load * plan.pace * plan.servers * plan.calls(now - self.start_ms))
        heapq.heappush(self.due, (now + self.rng.expovariate(1.0 / gap), next(self.ids), None))

    def act(self, now: float, node: Balancer, act: Action) -> None:
        if isinstance(act, SetTimer):
            self.at(now + act.delay_ms, node, TimerFired(act.name))
        elif isinstance(act, Send):
            plan, machine, there = self.plan, self.machines[act.server], now
            if plan.late_ms and act.server in self.colds and now >= self.start_ms:
                there = (now // plan.late_ms + 1.0) * plan.late_ms
            work = self.work[act.id]
            if now >= self.start_ms:
                machine.taken.append((there, work))
            begin = max(there, machine.free_ms)
            result, told = AttemptResult.REJECTED, there
            if begin - there <= ROOM * 1000.0 / plan.pace:
                bad = self.rng.random() < plan.fails
                result = AttemptResult.ERROR if bad else AttemptResult.OK
                told = begin + ANSWER_MS
                machine.free_ms = begin + work * 1000.0 / plan.pace / plan.warmth(begin - machine.born_ms)
            if told - now > act.timeout_ms:
                result, told = AttemptResult.TIMEOUT, now + act.timeout_ms
            attempt = len(node.pending[act.id].attempts) - 1
            done = result is AttemptResult.OK
            self.at(told, node, AttemptOutcome(act.id, attempt, act.server, result, told - now, done))

    def worst(self) -> float:
        """The most, over all windows at all cold servers, of what came over what may come."""
        return max(map(self.worst_at, self.colds))

    def worst_at(self, name: str) -> float:
        worst, total, window = 0.0, 0.0, deque[tuple[float, float]]()
        for when, work in sorted(self.machines[name].taken):
            window.append((when, work))
            total += work
            while window[0][0] <= when - self.plan.tip_ms:
                total -= window.popleft()[1]
            budget = self.plan.budget(when - self.start_ms)
            worst = max(worst, total / (budget + 2.0 * math.sqrt(budget) + 2.0))
        return worst

    def used(self) -> float:
        """What the cold servers got, as a share of what they could serve."""
        got = sum(work for name in self.colds for _, work in self.machines[name].taken)
        mean = self.plan.pace * (1.0 + self.plan.cold_from) / 2.0
        return got / (mean * self.plan.cold_ms / 1000.0 * self.plan.cold)


BASE = Plan()
STARTS = {
    "one": BASE,
    "nine": replace(BASE, cold=9),
    "all": replace(BASE, cold=10),
    "zone": replace(BASE, cold=5),
}
TURNS: dict[str, dict[str, Any]] = {
    "even": {},
    "uneven": {"uneven": 10.0},
    "late": {"late_ms": 1000.0},
    "retries": {"fails": 0.3},
    "unequal": {"unequal": True},
    "rush": {"load": 0.3, "rush": 3.0},
    "overload": {"load": 1.2},
    "lull": {"load": 1.0, "lull_ms": 5000.0, "rush": 2.0, "pace": 40.0, "factor": 2.0, "cold_from": 0.2},
    "few calls": {"pace": 2.0},
    "many calls": {"pace": 40.0},
    "steep": {"factor": 2.0, "cold_from": 0.2, "cold_ms": 3000.0},
    "flat": {"factor": 2.0, "cold_from": 0.5, "cold_ms": 9000.0, "tip_ms": 3000.0},
    "long window": {"cold_from": 0.2, "tip_ms": 3000.0},
}


@pytest.mark.parametrize("nodes", [3, 20, 30])
@pytest.mark.parametrize("turn", TURNS)
@pytest.mark.parametrize("start", STARTS)
def test_no_cold_server_gets_more_from_all_balancers_than_the_settings_allow(start, turn, nodes):
    world = World(replace(STARTS[start], nodes=nodes, **TURNS[turn]), seed=nodes).run()
    assert world.worst() <= 1.0


@pytest.mark.parametrize("nodes", [3, 30])
@pytest.mark.parametrize("start", STARTS)
def test_a_cold_server_is_used_while_it_warms_up(start, nodes):
    worlds = [World(replace(STARTS[start], nodes=nodes), seed).run() for seed in range(4)]
    assert sum(world.used() for world in worlds) / len(worlds) >= 0.25
