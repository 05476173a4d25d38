"""Figures of bench/fleet.py on routes: the spread of the switch, and activations under seeded faults."""

from __future__ import annotations

import random
import re
import signal
import time
from bisect import bisect_left, bisect_right
from collections import Counter
from collections.abc import Iterator
from contextlib import suppress
from pathlib import Path

from bench.figures import quantile
from bench.fleet_world import LIMIT_S, Figures, Plan, Samples, Tail, World, spread
from tests.support.invariant_sampler import Sample, quota_violations, version_conflicts
from tests.support.load import Load, Outcome
from tests.support.registry_processes import until

SWITCHED = re.compile(r"routes: version (\d+) in force, ([\d.]+) ms after its moment")
SKEWED = (0.0, 2_000.0, -2_000.0, 900.0)


def switch(
    folder: Path, nodes: int, activations: int, ttl_ms: int, bound_ms: int, skewed: int
) -> Iterator[Figures]:
    """Moments at which nodes switch, by their logs (to 1 ms, one machine's wall clock), fault-free."""
    clocks = SKEWED if skewed else (0.0,)
    spreads, aimed, off, late, took, missing = [], [], [], [], [], 0
    with World(folder, Plan(nodes, ttl_ms=ttl_ms, bound_ms=bound_ms, clocks_ms=clocks)) as world:
        world.until_shared()
        world.warm()
        tails = [Tail(node.log) for node in world.nodes]
        for at in range(activations):
            proposed = time.time()
            number = world.propose((1.0, 1.0 + at % 2))
            said = _switches(tails, number, ttl_ms / 1000.0 + 15.0)
            missing += nodes - len(said)
            moments = [stamp for stamp, _ in said.values()]
            if not moments:
                continue
            aims = [stamp - ms / 1000.0 for stamp, ms in said.values()]
            aimed.append((max(aims) - min(aims)) * 1000.0)
            middle = quantile(moments, 0.5)
            spreads.append((max(moments) - min(moments)) * 1000.0)
            off += [abs(moment - middle) * 1000.0 for moment in moments]
            late += [ms for _, ms in said.values()]
            took.append((max(moments) - proposed) * 1000.0)
    limit, term = (25.0 if skewed else 10.0), ttl_ms + 1000.0
    yield {
        "figure": "switch",
        "nodes": nodes,
        "activations": activations,
        "clocks_apart_ms": round(max(clocks) - min(clocks)),
        "ttl_ms": ttl_ms,
        "bound_ms": bound_ms,
        "spread_ms": spread(spreads),
        "spread_of_moments_aimed_at_ms": spread(aimed),  # clocks alone, without a late event loop
        "from_median_ms": spread(off),
        "late_of_own_moment_ms": spread(late, 2),
        "proposal_to_last_switch_ms": spread(took, 0),
        "not_switched": missing,
        "goal": f"spread p99 < {limit:.0f}, proposal to switch < {term:.0f}",
        "met": bool(spreads) and quantile(spreads, 0.99) < limit and max(took) < term and not missing,
    }


def _switches(tails: list[Tail], number: int, within_s: float) -> dict[int, tuple[float, float]]:
    """For each node that has switched to the version by then: the moment, s, and its own lateness, ms."""
    found: dict[int, tuple[float, float]] = {}
    deadline = time.monotonic() + within_s
    while len(found) < len(tails) and time.monotonic() < deadline:
        time.sleep(0.05)
        for at, tail in enumerate(tails):
            for stamp, line in tail.read():
                told = SWITCHED.search(line)
                if told and int(told[1]) == number:
                    found[at] = stamp, float(told[2])
    return found


# ---------------------------------------------------------------------- under faults


def faults(folder: Path, nodes: int, activations: int, ttl_ms: int, seed: int) -> Iterator[Figures]:
    """Activations while nodes are killed, stopped and cut off, and the service's leader killed."""
    plan = Plan(
        nodes,
        ttl_ms=ttl_ms,
        prepare_ms=3 * ttl_ms,
        clocks_ms=SKEWED,
        relayed=True,
        servers=4,  # two of each model: a repeat has another to go to
        room=1,  # what comes beside is turned away, so requests are repeated
        seed=seed,
    )
    with World(folder, plan) as world:
        world.until_shared()
        world.warm()
        chaos = Chaos(world, seed)
        samples = Samples(world.nodes, every_s=0.03)
        load = Load([node.port for node in world.nodes], "f", 6, "read", pause_s=0.01, timeout_s=30.0)
        try:
            for at in range(activations):
                chaos.activation((1.0, 0.0) if at % 2 else (0.0, 1.0))
            chaos.mend()
            world.until_shared()
            time.sleep(0.5)
        finally:
            load.finish()
            samples.stop()
        yield chaos.figures(samples.of, load.outcomes) | {"figure": "faults", "nodes": nodes, "seed": seed}


class Chaos:
    """One fault at a drawn moment of each activation, mended before the next."""

    def __init__(self, world: World, seed: int) -> None:
        self._world, self._rng = world, random.Random(seed)
        self.down: dict[int, list[tuple[float, float]]] = {node.port: [] for node in world.nodes}
        self._kinds = {
            "none": lambda: None,
            "node killed": self._kill,
            "node stopped 300 ms": lambda: self._stop(0.3),
            "node stopped over its lease": lambda: self._stop(1.5 * world.plan.ttl_ms / 1000.0),
            "node cut from the service": self._cut_service,
            "nodes cut in two": self._cut_nodes,
            "service's leader killed": self._kill_leader,
        }
        self.injected: Counter[str] = Counter()
        self.phases: Counter[str] = Counter()

    def activation(self, weights: tuple[float, float]) -> None:
        number = self._world.propose(weights)
        time.sleep(self._rng.uniform(0.0, 1.3) * self._world.plan.ttl_ms / 1000.0)
        kind = self._rng.choice(list(self._kinds))
        self._kinds[kind]()
        self.injected[kind] += 1
        phase = until(lambda: self._ended(number), LIMIT_S, f"the end of activation {number}")
        self.phases[phase] += 1
        if self._rng.random() < 0.8:  # else the next one finds the fault still there
            self.mend()

    def _ended(self, number: int) -> str | None:
        told = self._world.routes()
        if told["pending"] is not None and told["pending"]["number"] == number:
            return None
        return next(str(row["phase"]) for row in told["history"] if row["number"] == number)

    def mend(self) -> None:
        world = self._world
        assert world.net is not None
        world.net.heal()
        for post in world.posts:
            post.heal()
        for index, instance in enumerate(world.registry.processes):
            if instance is None:
                world.registry.start(index)
        ended = [node for node in world.nodes if node.process is None or node.process.poll() is not None]
        world.launch(ended)
        for node in ended:
            start, _ = self.down[node.port].pop()
            self.down[node.port].append((start, time.monotonic()))

    def _one(self) -> int:
        running = [
            at for at, node in enumerate(self._world.nodes) if node.process and node.process.poll() is None
        ]
        return self._rng.choice(running)

    def _kill(self) -> None:
        node = self._world.nodes[self._one()]
        self.down[node.port].append((time.monotonic(), float("inf")))
        node.kill()

    def _stop(self, seconds: float) -> None:
        node = self._world.nodes[self._one()]
        node.send(signal.SIGSTOP)
        time.sleep(seconds)
        node.send(signal.SIGCONT)

    def _cut_service(self) -> None:
        self._world.posts[self._one()].cut()

    def _cut_nodes(self) -> None:
        everyone = range(self._world.plan.nodes)
        some = self._rng.sample(everyone, self._rng.randrange(1, len(everyone)))
        assert self._world.net is not None
        self._world.net.cut(some, [at for at in everyone if at not in some])

    def _kill_leader(self) -> None:
        registry = self._world.registry
        if all(registry.processes):
            with suppress(AssertionError):
                registry.kill(registry.leader())

    # -------------------------------------------------------------- what came of it

    def figures(self, samples: list[list[Sample]], outcomes: dict[str, Outcome]) -> Figures:
        lost = [
            name
            for name, one in outcomes.items()
            if one.status == 0
            and not any(
                start < one.sent_s + one.duration_s and one.sent_s < end for start, end in self.down[one.port]
            )
        ]
        mixed, repeated, checked = self._mixed(samples, outcomes)
        broken = version_conflicts(samples, self._world.plan.bound_ms / 1000.0)
        over = quota_violations(samples)
        return {
            "activations": self.phases.total(),
            "phases": dict(self.phases),
            "injected": dict(self.injected),
            "requests": dict(Counter(str(one.status) for one in outcomes.values())),
            "live_lease_nodes_apart": len(broken),
            "apart": broken[:3],
            "shares_over_1": len(over),
            "requests_lost": len(lost),
            "requests_repeated": repeated,
            "followed_throughout": checked,
            "requests_of_mixed_version": len(mixed),
            "mixed": mixed[:3],
            "goal": "apart 0, lost 0, mixed 0",
            "met": not (broken or over or lost or mixed),
        }

    def _mixed(self, samples: list[list[Sample]], outcomes: dict[str, Outcome]) -> tuple[list[str], int, int]:
        """Requests at servers of both models, each version but 0 having only one, that began and ended while
        their node followed some version; how many were repeated; how many could be told."""
        model = {f"s{at}": at % 2 for at in range(self._world.plan.servers)}
        at_of = {node.port: at for at, node in enumerate(self._world.nodes)}
        mixed, repeated, checked = [], 0, 0
        for name, servers in self._world.pool.servers_reached.items():
            one = outcomes.get(name)
            if one is None:
                continue
            repeated += len(servers) > 1
            of = samples[at_of[one.port]]
            if not _followed(of, one.sent_s, one.sent_s + one.duration_s):
                continue
            checked += 1
            if len({model[server] for server in servers}) > 1:
                mixed.append(f"{name}: {servers}")
        return mixed, repeated, checked


def _followed(samples: list[Sample], start: float, end: float) -> bool:
    """Whether the node followed a version, none of them 0, from start to end as far as its samples tell."""
    first = bisect_right(samples, start, key=lambda sample: sample.answered_s) - 1
    last = bisect_left(samples, end, key=lambda sample: sample.requested_s)
    if first < 0 or last >= len(samples):
        return False
    return all(
        sample.followed_version[1] == "following" and sample.followed_version[2]
        for sample in samples[first : last + 1]
    )
