"""Benchmark of `loadbalancer/staleness` in a simulated fleet: accuracy and cost of ages, offsets, confidence.

    python bench/view.py [--seed 1 --nodes 20 --servers 40 --seconds 60 --jump 0]

The clock of each node is off by up to 1 s and fast or slow by up to 400 ppm. A node calls its siblings in
shuffled rounds, one sibling every 200 ms. A third of the links take 5 ms one way and 80 ms back, the others
0.2 to 40 ms each way, all with exponential jitter added; 2% of the messages are lost. Every node sends
requests to every server, from 50 per second to one in 20 s; at any time a tenth of the servers is down.
Halfway through the run the first node's clock jumps by `--jump` ms, which the monotonic clock of a real
process must never do. The program prints one JSON line:

`age_held`, `offset_held`: the ratio of samples in which the true age or clock offset was within its interval;
all edges are sampled every 100 ms.
`width_trips`: the width of the age interval of a sibling's reports, divided by the round trip of its link
without jitter (50th and 90th percentile).
`given`: the number of checks of a confidence level, just before and just after each update.
`over`: the checks in which the true age of the evidence was over the maximum age of the level.
`failed_by_mark`: the ratio of failed requests by the confidence in the route when the request was sent.
`us`: the cost of one call of each function in microseconds, with 200 servers and 20 nodes.
"""

from __future__ import annotations

import argparse
import heapq
import math
import random
import statistics
import sys
import time
from collections import Counter
from collections.abc import Callable
from pathlib import Path
from typing import Any

import orjson

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from loadbalancer.endpoints import AttemptResult, Confidence
from loadbalancer.staleness import ClockOffsets, ConfidenceTracker, FreshnessTable, server_edge, sibling_edge
from loadbalancer.staleness.confidence import MAX_AGE_PERIODS

PERIOD_MS, UPDATE_EVERY_MS, CALL_EVERY_MS, SAMPLE_EVERY_MS = 15.0, 30.0, 200.0, 100.0
LOSS_RATIO = 0.02
TOLERANCE_MS = 0.01  # for rounding errors of the simulation
# By confidence level; NONE has no maximum age.
MAX_AGES_MS = {level: age * PERIOD_MS for level, age in zip(Confidence, MAX_AGE_PERIODS, strict=False)}
NEVER = -math.inf


class Node:
    """A simulated node with its own clock, and the true times to which its ages are compared."""

    def __init__(self, rng: random.Random, name: int, nodes: int) -> None:
        self.name, self.skew, self.rate = name, rng.uniform(-1000.0, 1000.0), rng.uniform(-400e-6, 400e-6)
        self.view = FreshnessTable(ClockOffsets())
        self.view.set_members([other for other in range(nodes) if other != name])
        self.confidence = ConfidenceTracker(
            self.view, PERIOD_MS, UPDATE_EVERY_MS, round_ms=CALL_EVERY_MS * nodes
        )
        self.round: list[int] = []
        # True times in ms, which a real node can't know:
        self.responded_at: dict[str, float] = {}  # by server: its last response to this node
        # By server and version of this node's observation of it: the last response when it was made.
        self.observed_response_at: dict[tuple[str, int], float] = {}
        self.reported_at: dict[int, float] = {}  # by sibling: the making of its last accepted report

    def clock(self, now: float) -> float:
        """Return this node's clock at the true time `now`, in ms."""
        return now * (1.0 + self.rate) + self.skew

    def next_sibling(self, rng: random.Random) -> int:
        """Return the sibling to call next: each one once per round, in random order."""
        if not self.round:
            self.round = list(self.view.siblings)
            rng.shuffle(self.round)
        return self.round.pop()


class Fleet:
    """A simulation of nodes, servers and links in simulated time, which compares ages with their true values.

    The first argument `now` of the event methods is the true time in ms.
    """

    def __init__(self, seed: int, nodes: int, servers: int) -> None:
        self.rng = random.Random(seed)
        self.servers = [f"server-{at}" for at in range(servers)]
        self.nodes = [Node(self.rng, name, nodes) for name in range(nodes)]
        self.delays: dict[tuple[int, int], float] = {}  # ms, by sender and receiver, without jitter
        for a in range(nodes):
            for b in range(a):
                self.delays[a, b], self.delays[b, a] = self._draw_delays()
        # Events by time; the number keeps events of the same time in order.
        self.events: list[tuple[float, int, Callable[[float], None]]] = []
        self.event_number = 0
        self.down: set[str] = set()
        self.interval_checks: Counter[tuple[str, bool]] = Counter()
        self.over_max_age: Counter[Confidence] = Counter()
        self.level_checks: Counter[Confidence] = Counter()
        self.requests: Counter[tuple[Confidence, bool]] = Counter()
        self.widths: list[float] = []

    def _draw_delays(self) -> tuple[float, float]:
        if self.rng.random() < 1 / 3:
            return self.rng.choice([(5.0, 80.0), (80.0, 5.0)])
        return self.rng.uniform(0.2, 40.0), self.rng.uniform(0.2, 40.0)

    def schedule(self, at: float, event: Callable[..., None], *args: Any) -> None:
        """Run `event(at, *args)` at the true time `at`."""
        self.event_number += 1
        heapq.heappush(self.events, (at, self.event_number, lambda now: event(now, *args)))

    def send(
        self, now: float, sender: int, receiver: int, on_arrival: Callable[..., None], *args: Any
    ) -> None:
        """Send a message; schedule `on_arrival` for when it arrives, unless it is lost."""
        if self.rng.random() >= LOSS_RATIO:
            delay = self.delays[sender, receiver]
            self.schedule(now + delay + self.rng.expovariate(5.0 / delay), on_arrival, *args)

    def run(self, span: float, jump: float) -> None:
        """Run the simulation for `span` ms; halfway the first node's clock jumps by `jump` ms."""
        for node in self.nodes:
            node.view.confirm_list(node.clock(0.0), 1, self.servers)
            node.confidence.update(node.clock(0.0), "attached")
            self.schedule(self.rng.uniform(0.0, CALL_EVERY_MS), self.call_sibling, node)
            self.schedule(self.rng.uniform(0.0, UPDATE_EVERY_MS), self.update_confidence, node)
            for server in self.servers:
                gap = 20.0 * 1000.0 ** self.rng.random()
                self.schedule(self.rng.uniform(0.0, gap), self.send_request, node, server, gap)
        self.schedule(0.0, self.change_down_servers)
        self.schedule(5 * SAMPLE_EVERY_MS, self.sample)
        self.schedule(span / 2.0, self.jump_clock, jump)
        while self.events[0][0] < span:
            now, _, event = heapq.heappop(self.events)
            event(now)

    # ---------------------------------------------------------------- events

    def change_down_servers(self, now: float) -> None:
        """Choose the servers that are down for the next 5 s."""
        self.down = set(self.rng.sample(self.servers, len(self.servers) // 10))
        self.schedule(now + 5000.0, self.change_down_servers)

    def jump_clock(self, now: float, by: float) -> None:
        """Step the first node's clock by `by` ms."""
        self.nodes[0].skew += by

    def send_request(self, now: float, node: Node, server: str, mean_gap: float) -> None:
        """Send a request to the server and schedule its outcome and the next request."""
        fails = server in self.down or self.rng.random() < 0.005
        self.requests[node.confidence.levels[server], fails] += 1
        self.schedule(now + self.rng.uniform(1.0, 20.0), self.record_outcome, node, server, fails)
        self.schedule(now + self.rng.expovariate(1.0 / mean_gap), self.send_request, node, server, mean_gap)

    def record_outcome(self, now: float, node: Node, server: str, failed: bool) -> None:
        """Record a request's outcome at its node."""
        node.view.record_outcome(node.clock(now), server, AttemptResult.RESET if failed else AttemptResult.OK)
        if not failed:
            node.responded_at[server] = now
        node.observed_response_at[server, node.view.observations[server].version] = node.responded_at.get(
            server, NEVER
        )

    def call_sibling(self, now: float, node: Node) -> None:
        """Call the next sibling with a report; schedule the next call."""
        sibling = node.next_sibling(self.rng)
        self.send(
            now,
            node.name,
            sibling,
            self.receive_call,
            node,
            self.nodes[sibling],
            now,
            node.view.make_report(node.clock(now)),
        )
        self.schedule(now + CALL_EVERY_MS, self.call_sibling, node)

    def receive_call(self, now: float, node: Node, sibling: Node, sent: float, report: bytes) -> None:
        """Receive the report of `node` at the sibling, which responds after 0.5 ms."""
        self.receive_report(now, sibling, node, sent, report)
        self.schedule(now + 0.5, self.respond, node, sibling, sent, sibling.clock(now))

    def respond(self, now: float, node: Node, sibling: Node, sent: float, t2: float) -> None:
        """Send the sibling's response with its own report; `t2` is its clock when it received the call."""
        times = (node.clock(sent), t2, sibling.clock(now))
        self.send(
            now,
            sibling.name,
            node.name,
            self.receive_response,
            node,
            sibling,
            times,
            now,
            sibling.view.make_report(times[2]),
        )

    def receive_response(
        self,
        now: float,
        node: Node,
        sibling: Node,
        times: tuple[float, float, float],
        sent: float,
        report: bytes,
    ) -> None:
        """Receive the sibling's response; `times` are t1 to t3 of the call, as for a clock offset sample."""
        node.view.clock_offsets.add_sample(sibling.name, *times, node.clock(now))
        self.receive_report(now, node, sibling, sent, report)

    def receive_report(self, now: float, node: Node, origin: Node, sent: float, report: bytes) -> None:
        """Receive a report at `node` that `origin` made at the true time `sent`."""
        if node.view.receive_report(node.clock(now), origin.name, report) is None:
            node.reported_at[origin.name] = sent

    def update_confidence(self, now: float, node: Node) -> None:
        """Update the node's confidence levels, checking them before and after."""
        self.check_levels(now, node)
        node.view.confirm_list(node.clock(now), 1)
        node.confidence.update(node.clock(now), "attached")
        self.check_levels(now, node)
        self.schedule(now + UPDATE_EVERY_MS * self.rng.uniform(0.9, 0.999), self.update_confidence, node)

    # --------------------------------------------------------------- checks

    def check_levels(self, now: float, node: Node) -> None:
        """Count the levels by value, and those whose evidence is truly older than the level's maximum age."""
        for server, level in node.confidence.levels.items():
            self.level_checks[level] += 1
            if level in MAX_AGES_MS:
                known_at = node.responded_at.get(server, NEVER)
                if level is not Confidence.HIGH:
                    known_at = max(known_at, self.last_reported_response(node, server))
                self.over_max_age[level] += (now - known_at) * (1.0 + node.rate) > (
                    MAX_AGES_MS[level] + TOLERANCE_MS
                )

    def last_reported_response(self, node: Node, server: str, reporter: int | None = None) -> float:
        """Return the true time of the server's last response that siblings reported to the node.

        `reporter`: count the reports of this sibling only. NEVER if there is none.
        """
        gossip = node.view.gossip.get(server)
        observations = gossip.by_origin.values() if gossip else ()
        chosen = (
            observation for observation in observations if reporter is None or observation.origin == reporter
        )
        return max(
            (
                self.nodes[observation.origin].observed_response_at[server, observation.version]
                for observation in chosen
            ),
            default=NEVER,
        )

    def sample(self, now: float) -> None:
        """Check the age and clock offset intervals of all nodes against the true values."""
        for node in self.nodes:
            local_now = node.clock(now)
            for server in self.servers:
                edge = server_edge(node.view, local_now, server, 1)
                known_at = node.responded_at.get(server, NEVER)
                if edge.reporter is not None:
                    known_at = max(known_at, self.last_reported_response(node, server, edge.reporter))
                self.check_interval("age", edge.age, (now - known_at) * (1.0 + node.rate))
            for name, sent in node.reported_at.items():
                age = sibling_edge(node.view, local_now, name, 1).age
                self.check_interval("age", age, (now - sent) * (1.0 + node.rate))
                self.widths.append(
                    (age[1] - age[0]) / (self.delays[node.name, name] + self.delays[name, node.name])
                )
                offset = node.view.clock_offsets.offset(name, local_now)
                if offset is not None:
                    self.check_interval("offset", offset, self.nodes[name].clock(now) - local_now)
        self.schedule(now + SAMPLE_EVERY_MS, self.sample)

    def check_interval(self, kind: str, interval: tuple[float, float], true: float) -> None:
        """Count whether the true value is within the interval."""
        self.interval_checks[kind, interval[0] - TOLERANCE_MS <= true <= interval[1] + TOLERANCE_MS] += 1

    def result(self) -> dict[str, Any]:
        """Return the results under their printed names."""
        levels = [level for level in Confidence if self.level_checks[level]]
        return {
            "age_held": _ratio(self.interval_checks, "age", True),
            "age_samples": self.interval_checks["age", True] + self.interval_checks["age", False],
            "offset_held": _ratio(self.interval_checks, "offset", True),
            "width_trips": {
                f"p{percent}": round(
                    statistics.quantiles(self.widths, n=100, method="inclusive")[percent - 1], 2
                )
                for percent in (50, 90)
            },
            "given": {level.value: self.level_checks[level] for level in levels},
            "over": {level.value: self.over_max_age[level] for level in levels if level in MAX_AGES_MS},
            "failed_by_mark": {level.value: _ratio(self.requests, level, True) for level in levels},
        }


def _ratio(counts: Counter[Any], key: object, flag: bool) -> float | None:
    """Return the ratio of the counts under `key` that have this flag, or None if there are none."""
    total = counts[key, True] + counts[key, False]
    return round(counts[key, flag] / total, 5) if total else None


def costs() -> dict[str, float]:
    """Return the median time of a call of each function in microseconds, with 200 servers and 20 nodes."""
    fleet = Fleet(1, 20, 200)
    fleet.run(10_000.0, 0.0)
    node, sibling = fleet.nodes[0], fleet.nodes[1]
    view, now = node.view, node.clock(10_000.0)
    reports = iter([sibling.view.make_report(sibling.clock(10_000.0)) for _ in range(500)])
    names = iter(fleet.servers * 100)
    update_times = iter(range(10_000, 30_000, 30))
    return {
        "saw": _median_us(lambda: view.record_outcome(now, next(names), AttemptResult.OK), 10_000),
        "share": _median_us(lambda: view.make_report(now), 500),
        "told": _median_us(lambda: view.receive_report(now, 1, next(reports)), 500),
        "sample": _median_us(lambda: view.clock_offsets.add_sample(1, now, now, now, now), 500),
        "marks": _median_us(lambda: node.confidence.update(node.clock(next(update_times)), "attached"), 500),
        "status": _median_us(lambda: node.confidence.edge_statuses(now), 100),
        "share_bytes": len(view.make_report(now)),
    }


def _median_us(function: Callable[[], object], count: int) -> float:
    """Call the function `count` times and return the median time in microseconds."""
    times_ns = []
    for _ in range(count):
        start = time.perf_counter_ns()
        function()
        times_ns.append(time.perf_counter_ns() - start)
    return round(statistics.median(times_ns) / 1000.0, 2)


def main() -> None:
    """Run the simulation with the options of the command line and print its result."""
    parser = argparse.ArgumentParser(description=(__doc__ or "").partition("\n")[0])
    for name, default in (("seed", 1), ("nodes", 20), ("servers", 40), ("seconds", 60), ("jump", 0)):
        parser.add_argument(f"--{name}", type=int, default=default)
    arguments = parser.parse_args()
    fleet = Fleet(arguments.seed, arguments.nodes, arguments.servers)
    fleet.run(arguments.seconds * 1000.0, arguments.jump)
    print(orjson.dumps(vars(arguments) | fleet.result() | {"us": costs()}).decode())


if __name__ == "__main__":
    main()
