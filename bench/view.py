"""Figures of the view (`loadbalancer/staleness`) on a simulated fleet: intervals, marks and what they cost.

    python bench/view.py [--seed 1 --nodes 20 --servers 40 --seconds 60 --jump 0]

Each node's clock is up to 1 s off either way and up to 400 ppm fast or slow. It calls its siblings in
shuffled rounds, one each 200 ms. A third of the links take 5 ms one way and 80 ms back, the others 0.2 to
40 ms a way, all with exponential jitter on top; 2% of the messages are lost. Every node calls every server,
from 50 times a second to once in 20 s; at any time a tenth of the servers is down. Half-way the first
node's clock jumps by `--jump` ms, which a process's own clock must not. Prints one JSON line:

`age_held`, `offset_held`: shares of samples whose true staleness, true offset lay in their intervals, over
all edges each 100 ms. `width_trips`: median width of the age of a sibling's facts over the quickest round
trip of its link, jitter left out. `over`: of `given` marks, those whose evidence was truly over their
bound, looked at as each is given and as it is taken back. `failed_by_mark`: the share of calls that failed,
by the mark of the route when they began. `us`: the cost of one call of each, at 200 servers and 20 nodes.
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

P, EVERY, CALL, SAMPLE = 15.0, 30.0, 200.0, 100.0  # ms
LOSS = 0.02
SLACK = 0.01  # ms: rounding in the simulation's own arithmetic
LIMITS = {mark: bound * P for mark, bound in zip(Confidence, MAX_AGE_PERIODS, strict=False)}  # blind has none
NEVER = -math.inf


class Node:
    """A process with its own clock; `heard`, `sent` hold the true times behind what its view says."""

    def __init__(self, draw: random.Random, name: int, nodes: int) -> None:
        self.name, self.skew, self.rate = name, draw.uniform(-1000.0, 1000.0), draw.uniform(-400e-6, 400e-6)
        self.view = FreshnessTable(ClockOffsets())
        self.view.set_members([other for other in range(nodes) if other != name])
        self.marks = ConfidenceTracker(self.view, P, EVERY, round_ms=CALL * nodes)
        self.round: list[int] = []
        self.heard: dict[str, float] = {}  # server -> its last answer
        self.facts: dict[tuple[str, int], float] = {}  # server, version -> the answer that fact speaks of
        self.sent: dict[int, float] = {}  # sibling -> when it made the last share that was taken

    def clock(self, now: float) -> float:
        return now * (1.0 + self.rate) + self.skew

    def next(self, draw: random.Random) -> int:
        if not self.round:
            self.round = list(self.view.siblings)
            draw.shuffle(self.round)
        return self.round.pop()


class Fleet:
    def __init__(self, seed: int, nodes: int, servers: int) -> None:
        self.draw = random.Random(seed)
        self.servers = [f"server-{at}" for at in range(servers)]
        self.nodes = [Node(self.draw, name, nodes) for name in range(nodes)]
        self.ways: dict[tuple[int, int], float] = {}
        for a in range(nodes):
            for b in range(a):
                self.ways[a, b], self.ways[b, a] = self._link()
        self.todo: list[tuple[float, int, Callable[[float], None]]] = []
        self.turn = 0
        self.down: set[str] = set()
        self.held: Counter[tuple[str, bool]] = Counter()
        self.over: Counter[Confidence] = Counter()
        self.given: Counter[Confidence] = Counter()
        self.calls: Counter[tuple[Confidence, bool]] = Counter()
        self.widths: list[float] = []

    def _link(self) -> tuple[float, float]:
        if self.draw.random() < 1 / 3:
            return self.draw.choice([(5.0, 80.0), (80.0, 5.0)])
        return self.draw.uniform(0.2, 40.0), self.draw.uniform(0.2, 40.0)

    def at(self, when: float, what: Callable[..., None], *args: Any) -> None:
        self.turn += 1
        heapq.heappush(self.todo, (when, self.turn, lambda now: what(now, *args)))

    def message(self, now: float, a: int, b: int, what: Callable[..., None], *args: Any) -> None:
        """Have `what` happen when a message from a reaches b, if it does."""
        if self.draw.random() >= LOSS:
            way = self.ways[a, b]
            self.at(now + way + self.draw.expovariate(5.0 / way), what, *args)

    def run(self, span: float, jump: float) -> None:
        for node in self.nodes:
            node.view.confirm_list(node.clock(0.0), 1, self.servers)
            node.marks.update(node.clock(0.0), "attached")
            self.at(self.draw.uniform(0.0, CALL), self.call, node)
            self.at(self.draw.uniform(0.0, EVERY), self.mark, node)
            for server in self.servers:
                gap = 20.0 * 1000.0 ** self.draw.random()
                self.at(self.draw.uniform(0.0, gap), self.use, node, server, gap)
        self.at(0.0, self.fail)
        self.at(5 * SAMPLE, self.sample)
        self.at(span / 2.0, self.jump, jump)
        while self.todo[0][0] < span:
            now, _, what = heapq.heappop(self.todo)
            what(now)

    # ---------------------------------------------------------------- events

    def fail(self, now: float) -> None:
        self.down = set(self.draw.sample(self.servers, len(self.servers) // 10))
        self.at(now + 5000.0, self.fail)

    def jump(self, now: float, by: float) -> None:
        self.nodes[0].skew += by

    def use(self, now: float, node: Node, server: str, gap: float) -> None:
        bad = server in self.down or self.draw.random() < 0.005
        self.calls[node.marks.levels[server], bad] += 1
        self.at(now + self.draw.uniform(1.0, 20.0), self.used, node, server, bad)
        self.at(now + self.draw.expovariate(1.0 / gap), self.use, node, server, gap)

    def used(self, now: float, node: Node, server: str, bad: bool) -> None:
        node.view.record_outcome(node.clock(now), server, AttemptResult.RESET if bad else AttemptResult.OK)
        if not bad:
            node.heard[server] = now
        node.facts[server, node.view.observations[server].version] = node.heard.get(server, NEVER)

    def call(self, now: float, node: Node) -> None:
        there = node.next(self.draw)
        self.message(
            now,
            node.name,
            there,
            self.taken,
            node,
            self.nodes[there],
            now,
            node.view.make_report(node.clock(now)),
        )
        self.at(now + CALL, self.call, node)

    def taken(self, now: float, node: Node, there: Node, began: float, entry: bytes) -> None:
        self.tell(now, there, node, began, entry)
        self.at(now + 0.5, self.answer, node, there, began, there.clock(now))

    def answer(self, now: float, node: Node, there: Node, began: float, t2: float) -> None:
        times = (node.clock(began), t2, there.clock(now))
        self.message(
            now, there.name, node.name, self.back, node, there, times, now, there.view.make_report(times[2])
        )

    def back(
        self,
        now: float,
        node: Node,
        there: Node,
        times: tuple[float, float, float],
        sent: float,
        entry: bytes,
    ) -> None:
        node.view.clock_offsets.add_sample(there.name, *times, node.clock(now))
        self.tell(now, node, there, sent, entry)

    def tell(self, now: float, node: Node, origin: Node, sent: float, entry: bytes) -> None:
        if node.view.receive_report(node.clock(now), origin.name, entry) is None:
            node.sent[origin.name] = sent

    def mark(self, now: float, node: Node) -> None:
        self.check(now, node)
        node.view.confirm_list(node.clock(now), 1)
        node.marks.update(node.clock(now), "attached")
        self.check(now, node)
        self.at(now + EVERY * self.draw.uniform(0.9, 0.999), self.mark, node)

    # --------------------------------------------------------------- looking

    def check(self, now: float, node: Node) -> None:
        """Whether each mark, as it is given or as it is about to be taken back, is within its bound."""
        for server, mark in node.marks.levels.items():
            self.given[mark] += 1
            if mark in LIMITS:
                known = node.heard.get(server, NEVER)
                if mark is not Confidence.HIGH:
                    known = max(known, self.told_of(node, server))
                self.over[mark] += (now - known) * (1.0 + node.rate) > LIMITS[mark] + SLACK

    def told_of(self, node: Node, server: str, via: int | None = None) -> float:
        """The true time of the newest answer of which a sibling, or this one, told the node."""
        hearsay = node.view.gossip.get(server)
        facts = hearsay.by_origin.values() if hearsay else ()
        wanted = (fact for fact in facts if via is None or fact.origin == via)
        return max((self.nodes[fact.origin].facts[server, fact.version] for fact in wanted), default=NEVER)

    def sample(self, now: float) -> None:
        for node in self.nodes:
            own = node.clock(now)
            for server in self.servers:
                edge = server_edge(node.view, own, server, 1)
                known = node.heard.get(server, NEVER)
                if edge.reporter is not None:
                    known = max(known, self.told_of(node, server, edge.reporter))
                self.hold("age", edge.age, (now - known) * (1.0 + node.rate))
            for name, sent in node.sent.items():
                age = sibling_edge(node.view, own, name, 1).age
                self.hold("age", age, (now - sent) * (1.0 + node.rate))
                self.widths.append(
                    (age[1] - age[0]) / (self.ways[node.name, name] + self.ways[name, node.name])
                )
                offset = node.view.clock_offsets.offset(name, own)
                if offset is not None:
                    self.hold("offset", offset, self.nodes[name].clock(now) - own)
        self.at(now + SAMPLE, self.sample)

    def hold(self, what: str, interval: tuple[float, float], true: float) -> None:
        self.held[what, interval[0] - SLACK <= true <= interval[1] + SLACK] += 1

    def figures(self) -> dict[str, Any]:
        marks = [mark for mark in Confidence if self.given[mark]]
        return {
            "age_held": _share(self.held, "age", True),
            "age_samples": self.held["age", True] + self.held["age", False],
            "offset_held": _share(self.held, "offset", True),
            "width_trips": {
                f"p{at}": round(statistics.quantiles(self.widths, n=100, method="inclusive")[at - 1], 2)
                for at in (50, 90)
            },
            "given": {mark.value: self.given[mark] for mark in marks},
            "over": {mark.value: self.over[mark] for mark in marks if mark in LIMITS},
            "failed_by_mark": {mark.value: _share(self.calls, mark, True) for mark in marks},
        }


def _share(counts: Counter[Any], what: object, which: bool) -> float | None:
    whole = counts[what, True] + counts[what, False]
    return round(counts[what, which] / whole, 5) if whole else None


def costs() -> dict[str, float]:
    """Microseconds of one call of each, the median of many, at 200 servers and 20 nodes."""
    fleet = Fleet(1, 20, 200)
    fleet.run(10_000.0, 0.0)
    node, there = fleet.nodes[0], fleet.nodes[1]
    view, now = node.view, node.clock(10_000.0)
    entries = iter([there.view.make_report(there.clock(10_000.0)) for _ in range(500)])
    names = iter(fleet.servers * 100)
    ahead = iter(range(10_000, 30_000, 30))
    return {
        "saw": _us(lambda: view.record_outcome(now, next(names), AttemptResult.OK), 10_000),
        "share": _us(lambda: view.make_report(now), 500),
        "told": _us(lambda: view.receive_report(now, 1, next(entries)), 500),
        "sample": _us(lambda: view.clock_offsets.add_sample(1, now, now, now, now), 500),
        "marks": _us(lambda: node.marks.update(node.clock(next(ahead)), "attached"), 500),
        "status": _us(lambda: node.marks.edge_statuses(now), 100),
        "share_bytes": len(view.make_report(now)),
    }


def _us(what: Callable[[], object], times: int) -> float:
    took = []
    for _ in range(times):
        began = time.perf_counter_ns()
        what()
        took.append(time.perf_counter_ns() - began)
    return round(statistics.median(took) / 1000.0, 2)


def main() -> None:
    parser = argparse.ArgumentParser(description=(__doc__ or "").partition("\n")[0])
    for name, default in (("seed", 1), ("nodes", 20), ("servers", 40), ("seconds", 60), ("jump", 0)):
        parser.add_argument(f"--{name}", type=int, default=default)
    args = parser.parse_args()
    fleet = Fleet(args.seed, args.nodes, args.servers)
    fleet.run(args.seconds * 1000.0, args.jump)
    print(orjson.dumps(vars(args) | fleet.figures() | {"us": costs()}).decode())


if __name__ == "__main__":
    main()
