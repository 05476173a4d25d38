"""Simulations of servers in slow start, which must not be overloaded by the sum of all balancers' requests.

The work that arrives at a server in any window of `window_ms` (the simulator's `tipAfterMs`) is compared with
a budget: `overload_factor` times the server's capacity in that window, plus 2 * sqrt(budget) + 2 requests
for random variation.
"""

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
WARM_UP_MS = 12000.0  # traffic to the other servers before the new ones start
RESPONSE_MS = 20.0  # latency without queueing; so short that limits on requests in flight rarely apply
QUEUE_CAPACITY = 8  # requests that a server queues; it rejects further ones


@dataclass(frozen=True)
class Scenario:
    """Parameters of the nodes, the servers and the traffic."""

    nodes: int = 30
    servers: int = 10
    starting_count: int = 1  # servers that start, the first ones; in the balancers' zone, so they rank first
    rate_per_s: float = 10.0  # requests of mean work that a server can serve per second after its slow start
    load: float = 0.8  # offered traffic over the full capacity of all servers
    overload_factor: float = 3.0
    slow_start_from: float = 0.3
    slow_start_ms: float = 6000.0
    window_ms: float = 1000.0  # over which a server's load is measured
    node_skew: float = 1.0  # traffic of the busiest node over that of the least busy one
    connect_step_ms: float = 0.0  # connections to starting servers are established at multiples of this
    failure_rate: float = 0.0  # ratio of served attempts that end in an error
    unequal_work: bool = False  # work of 1 : 4 by class, log-normal within a class
    idle_ms: float = 0.0  # 1% of the traffic for this long before the start
    burst: float = 1.0  # traffic factor for 1 s, after the idle time or else from 1 s after the start

    def capacity_ratio(self, age_ms: float) -> float:
        return self.slow_start_from + (1.0 - self.slow_start_from) * min(
            1.0, max(0.0, age_ms / self.slow_start_ms)
        )

    def traffic_factor(self, age_ms: float) -> float:
        """Return the traffic over the usual traffic, at this age of the starting servers."""
        if -self.idle_ms <= age_ms < 0.0:
            return 0.01
        return self.burst if 0.0 <= age_ms - (0.0 if self.idle_ms else 1000.0) < 1000.0 else 1.0

    def budget(self, age_ms: float) -> float:
        """Return the work allowed in the window that ends at this age, in requests of mean work."""
        steps = 20
        ages = (age_ms - self.window_ms * (index + 0.5) / steps for index in range(steps))
        return (
            self.overload_factor
            * self.rate_per_s
            * self.window_ms
            / 1000.0
            * sum(map(self.capacity_ratio, ages))
            / steps
        )


@dataclass
class Server:
    """A simulated server that does its work in order, at a rate by its age."""

    launched_ms: float = -math.inf
    idle_from_ms: float = 0.0
    arrivals: list[tuple[float, float]] = field(default_factory=list)  # (time, work)


class Simulation:
    """Balancers that send requests to shared servers, some of which start at `start_ms`."""

    def __init__(self, scenario: Scenario, seed: int) -> None:
        self.scenario, self.rng, self.counter = scenario, Random(seed), itertools.count()
        self.events: list[tuple[float, int, Any]] = []
        self.start_ms = 0.0 if scenario.starting_count == scenario.servers else WARM_UP_MS
        self.servers = {f"s{index}": Server() for index in range(scenario.servers)}
        self.starting_names = list(self.servers)[: scenario.starting_count]
        settings = Settings(
            classes=CLASSES, siblings=scenario.nodes, max_attempts=3,
            slow_start_from=scenario.slow_start_from, slow_start_ms=scenario.slow_start_ms,
            overload_factor=scenario.overload_factor, zone="a", cross_zone_price=0.05,
        )  # fmt: skip
        self.nodes = [Balancer(settings, seed * 1000 + index, 0.0) for index in range(scenario.nodes)]
        self.node_weights = [
            scenario.node_skew ** (index / max(1, scenario.nodes - 1)) for index in range(scenario.nodes)
        ]
        self.work: dict[str, float] = {}

    def schedule(self, at_ms: float, node: Balancer, event: Event) -> None:
        heapq.heappush(self.events, (at_ms, next(self.counter), (node, event)))

    def run(self) -> Simulation:
        """Run from the warm-up to the end of the slow start."""
        scenario, end_ms = self.scenario, self.start_ms + self.scenario.slow_start_ms
        endpoints = [Endpoint(name, "a" if name in self.starting_names else "b") for name in self.servers]
        started = tuple(
            replace(endpoint, launched_ms=self.start_ms) for endpoint in endpoints[: scenario.starting_count]
        )
        for node in self.nodes:
            self.schedule(0.0, node, EndpointListUpdate(EndpointListKind.CACHED, tuple(endpoints)))
            self.schedule(self.start_ms, node, EndpointListUpdate(EndpointListKind.DELTA, started))
        for name in self.starting_names:
            heapq.heappush(self.events, (self.start_ms, -1, name))
        self.send_request(0.0)
        while self.events and self.events[0][0] < end_ms:
            now, _, item = heapq.heappop(self.events)
            if item is None:
                self.send_request(now)
            elif isinstance(item, str):
                self.servers[item].launched_ms = self.servers[item].idle_from_ms = now
            else:
                node, event = item
                for action in node.handle(now, event):
                    self.carry_out(now, node, action)
        return self

    def send_request(self, now: float) -> None:
        """Send a request to a random node and schedule the next request."""
        scenario, name = self.scenario, f"q{next(self.counter)}"
        service_class = self.rng.choice(CLASSES)
        work = (0.4 if service_class.name == "short" else 1.6) if scenario.unequal_work else 1.0
        self.work[name] = work * self.rng.lognormvariate(-0.125, 0.5) if scenario.unequal_work else work
        (node,) = self.rng.choices(self.nodes, self.node_weights)
        self.schedule(now, node, Request(name, service_class.name, now + service_class.client_timeout_ms))
        mean_interval_ms = 1000.0 / (
            scenario.load
            * scenario.rate_per_s
            * scenario.servers
            * scenario.traffic_factor(now - self.start_ms)
        )
        heapq.heappush(
            self.events, (now + self.rng.expovariate(1.0 / mean_interval_ms), next(self.counter), None)
        )

    def carry_out(self, now: float, node: Balancer, action: Action) -> None:
        if isinstance(action, SetTimer):
            self.schedule(now + action.delay_ms, node, TimerFired(action.name))
        elif isinstance(action, Send):
            scenario, server, arrival_ms = self.scenario, self.servers[action.server], now
            if scenario.connect_step_ms and action.server in self.starting_names and now >= self.start_ms:
                arrival_ms = (now // scenario.connect_step_ms + 1.0) * scenario.connect_step_ms
            work = self.work[action.id]
            if now >= self.start_ms:
                server.arrivals.append((arrival_ms, work))
            begin_ms = max(arrival_ms, server.idle_from_ms)
            result, end_ms = AttemptResult.REJECTED, arrival_ms
            if begin_ms - arrival_ms <= QUEUE_CAPACITY * 1000.0 / scenario.rate_per_s:
                failed = self.rng.random() < scenario.failure_rate
                result = AttemptResult.ERROR if failed else AttemptResult.OK
                end_ms = begin_ms + RESPONSE_MS
                server.idle_from_ms = (
                    begin_ms
                    + work
                    * 1000.0
                    / scenario.rate_per_s
                    / scenario.capacity_ratio(begin_ms - server.launched_ms)
                )
            if end_ms - now > action.timeout_ms:
                result, end_ms = AttemptResult.TIMEOUT, now + action.timeout_ms
            attempt = len(node.pending[action.id].attempts) - 1
            request_ended = result is AttemptResult.OK
            self.schedule(
                end_ms,
                node,
                AttemptOutcome(action.id, attempt, action.server, result, end_ms - now, request_ended),
            )

    def max_load_ratio(self) -> float:
        """Return the maximum of arrived work over its budget, over all windows of all starting servers."""
        return max(map(self.max_load_ratio_at, self.starting_names))

    def max_load_ratio_at(self, name: str) -> float:
        max_load_ratio, total, window = 0.0, 0.0, deque[tuple[float, float]]()
        for at_ms, work in sorted(self.servers[name].arrivals):
            window.append((at_ms, work))
            total += work
            while window[0][0] <= at_ms - self.scenario.window_ms:
                total -= window.popleft()[1]
            budget = self.scenario.budget(at_ms - self.start_ms)
            max_load_ratio = max(max_load_ratio, total / (budget + 2.0 * math.sqrt(budget) + 2.0))
        return max_load_ratio

    def utilisation(self) -> float:
        """Return the work that the starting servers received over what they could serve."""
        work_done = sum(work for name in self.starting_names for _, work in self.servers[name].arrivals)
        mean_rate_per_s = self.scenario.rate_per_s * (1.0 + self.scenario.slow_start_from) / 2.0
        return work_done / (
            mean_rate_per_s * self.scenario.slow_start_ms / 1000.0 * self.scenario.starting_count
        )


BASE = Scenario()
STARTING_SERVERS = {
    "one": BASE,
    "nine": replace(BASE, starting_count=9),
    "all": replace(BASE, starting_count=10),
    "zone": replace(BASE, starting_count=5),
}
CONDITIONS: dict[str, dict[str, Any]] = {
    "even": {},
    "uneven nodes": {"node_skew": 10.0},
    "delayed connections": {"connect_step_ms": 1000.0},
    "retries": {"failure_rate": 0.3},
    "unequal work": {"unequal_work": True},
    "burst": {"load": 0.3, "burst": 3.0},
    "overload": {"load": 1.2},
    "burst after idle time": {
        "load": 1.0,
        "idle_ms": 5000.0,
        "burst": 2.0,
        "rate_per_s": 40.0,
        "overload_factor": 2.0,
        "slow_start_from": 0.2,
    },
    "low rate": {"rate_per_s": 2.0},
    "high rate": {"rate_per_s": 40.0},
    "short slow start": {"overload_factor": 2.0, "slow_start_from": 0.2, "slow_start_ms": 3000.0},
    "long slow start": {
        "overload_factor": 2.0,
        "slow_start_from": 0.5,
        "slow_start_ms": 9000.0,
        "window_ms": 3000.0,
    },
    "long window": {"slow_start_from": 0.2, "window_ms": 3000.0},
}


@pytest.mark.parametrize("nodes", [3, 20, 30])
@pytest.mark.parametrize("condition", CONDITIONS)
@pytest.mark.parametrize("starting", STARTING_SERVERS)
def test_no_server_in_slow_start_is_overloaded_by_all_balancers_together(starting, condition, nodes):
    simulation = Simulation(
        replace(STARTING_SERVERS[starting], nodes=nodes, **CONDITIONS[condition]), seed=nodes
    ).run()
    assert simulation.max_load_ratio() <= 1.0


@pytest.mark.parametrize("nodes", [3, 30])
@pytest.mark.parametrize("starting", STARTING_SERVERS)
def test_server_in_slow_start_gets_requests(starting, nodes):
    simulations = [
        Simulation(replace(STARTING_SERVERS[starting], nodes=nodes), seed).run() for seed in range(4)
    ]
    assert sum(simulation.utilisation() for simulation in simulations) / len(simulations) >= 0.25
