"""Benchmarks of bench/fleet.py on routes: how closely nodes switch together, and activations under faults."""

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
from bench.fleet_world import LIMIT_S, LogReader, MembersSampler, Plan, Result, World, spread
from tests.support.invariant_sampler import Sample, quota_violations, version_conflicts
from tests.support.load import Load, Outcome
from tests.support.registry_processes import until

SWITCHED = re.compile(r"routes: version (\d+) in force, ([\d.]+) ms after its moment")
SKEWED_CLOCKS_MS = (0.0, 2_000.0, -2_000.0, 900.0)


def switch(
    folder: Path, nodes: int, activations: int, ttl_ms: int, bound_ms: int, skewed: int
) -> Iterator[Result]:
    """Spread of the moments at which nodes switch route versions, without faults.

    The moments are read from the nodes' logs: 1 ms resolution, one machine's wall clock. `skewed`: the nodes
    run with clock offsets of up to 2 s.
    """
    clock_offsets = SKEWED_CLOCKS_MS if skewed else (0.0,)
    spreads, target_spreads, deviations, delays, durations, missing = [], [], [], [], [], 0
    with World(
        folder, Plan(nodes, ttl_ms=ttl_ms, clock_bound_ms=bound_ms, clock_offsets_ms=clock_offsets)
    ) as world:
        world.wait_until_quotas_equal()
        world.warm_up()
        logs = [LogReader(node.log) for node in world.nodes]
        for at in range(activations):
            proposed = time.time()
            number = world.propose((1.0, 1.0 + at % 2))
            switches = _read_switches(logs, number, ttl_ms / 1000.0 + 15.0)
            missing += nodes - len(switches)
            moments = [moment for moment, _ in switches.values()]
            if not moments:
                continue
            targets = [moment - delay_ms / 1000.0 for moment, delay_ms in switches.values()]
            target_spreads.append((max(targets) - min(targets)) * 1000.0)
            median = quantile(moments, 0.5)
            spreads.append((max(moments) - min(moments)) * 1000.0)
            deviations += [abs(moment - median) * 1000.0 for moment in moments]
            delays += [delay_ms for _, delay_ms in switches.values()]
            durations.append((max(moments) - proposed) * 1000.0)
    spread_limit_ms, duration_limit_ms = (25.0 if skewed else 10.0), ttl_ms + 1000.0
    yield {
        "figure": "switch",
        "nodes": nodes,
        "activations": activations,
        "clocks_apart_ms": round(max(clock_offsets) - min(clock_offsets)),
        "ttl_ms": ttl_ms,
        "bound_ms": bound_ms,
        "spread_ms": spread(spreads),
        # Spread of the moments that the nodes planned: clock differences only, without event loop delays.
        "spread_of_moments_aimed_at_ms": spread(target_spreads),
        "from_median_ms": spread(deviations),
        "late_of_own_moment_ms": spread(delays, 2),
        "proposal_to_last_switch_ms": spread(durations, 0),
        "not_switched": missing,
        "goal": f"spread p99 < {spread_limit_ms:.0f}, proposal to switch < {duration_limit_ms:.0f}",
        "met": bool(spreads)
        and quantile(spreads, 0.99) < spread_limit_ms
        and max(durations) < duration_limit_ms
        and not missing,
    }


def _read_switches(logs: list[LogReader], number: int, timeout_s: float) -> dict[int, tuple[float, float]]:
    """Wait until all nodes have switched to the version, or for `timeout_s`.

    Return by node the moment (Unix time in s) and the delay (ms) after the moment that the node planned.
    """
    found: dict[int, tuple[float, float]] = {}
    deadline = time.monotonic() + timeout_s
    while len(found) < len(logs) and time.monotonic() < deadline:
        time.sleep(0.05)
        for at, log in enumerate(logs):
            for logged, line in log.read():
                match = SWITCHED.search(line)
                if match and int(match[1]) == number:
                    found[at] = logged, float(match[2])
    return found


# ---------------------------------------------------------------------- under faults


def faults(folder: Path, nodes: int, activations: int, ttl_ms: int, seed: int) -> Iterator[Result]:
    """Activations of route versions while nodes are killed, paused and cut off, and leaders killed."""
    plan = Plan(
        nodes,
        ttl_ms=ttl_ms,
        prepare_ms=3 * ttl_ms,
        clock_offsets_ms=SKEWED_CLOCKS_MS,
        relayed=True,
        servers=4,  # two of each model, so that a retry can go to another server of the same model
        server_capacity=1,  # concurrent requests to a server are rejected, so that nodes retry
        seed=seed,
    )
    with World(folder, plan) as world:
        world.wait_until_quotas_equal()
        world.warm_up()
        chaos = Chaos(world, seed)
        sampler = MembersSampler(world.nodes, period_s=0.03)
        load = Load([node.port for node in world.nodes], "f", 6, "read", pause_s=0.01, timeout_s=30.0)
        try:
            for at in range(activations):
                chaos.run_activation((1.0, 0.0) if at % 2 else (0.0, 1.0))
            chaos.heal()
            world.wait_until_quotas_equal()
            time.sleep(0.5)
        finally:
            load.finish()
            sampler.stop()
        yield chaos.result(sampler.samples, load.outcomes) | {
            "figure": "faults",
            "nodes": nodes,
            "seed": seed,
        }


class Chaos:
    """Injects a random fault at a random moment of each activation; most are healed before the next one."""

    def __init__(self, world: World, seed: int) -> None:
        self._world, self._rng = world, random.Random(seed)
        # The intervals (start, end) in which a node was down, by its port.
        self.downtimes: dict[int, list[tuple[float, float]]] = {node.port: [] for node in world.nodes}
        self._faults = {
            "none": lambda: None,
            "node killed": self._kill_node,
            "node stopped 300 ms": lambda: self._pause_node(0.3),
            "node stopped over its lease": lambda: self._pause_node(1.5 * world.plan.ttl_ms / 1000.0),
            "node cut from the service": self._cut_from_service,
            "nodes cut in two": self._partition_nodes,
            "service's leader killed": self._kill_leader,
        }
        self.injected: Counter[str] = Counter()
        self.phases: Counter[str] = Counter()

    def run_activation(self, weights: tuple[float, float]) -> None:
        """Propose a route version, inject a fault and wait until the activation has ended."""
        number = self._world.propose(weights)
        time.sleep(self._rng.uniform(0.0, 1.3) * self._world.plan.ttl_ms / 1000.0)
        fault = self._rng.choice(list(self._faults))
        self._faults[fault]()
        self.injected[fault] += 1
        phase = until(lambda: self._final_phase(number), LIMIT_S, f"the end of activation {number}")
        self.phases[phase] += 1
        if self._rng.random() < 0.8:  # otherwise the fault lasts into the next activation
            self.heal()

    def _final_phase(self, number: int) -> str | None:
        """Return the version's phase, or None while the version is pending."""
        routes = self._world.routes()
        if routes["pending"] is not None and routes["pending"]["number"] == number:
            return None
        return next(str(row["phase"]) for row in routes["history"] if row["number"] == number)

    def heal(self) -> None:
        """Heal all links and start all processes that have ended."""
        world = self._world
        assert world.net is not None
        world.net.heal()
        for proxy in world.agent_proxies:
            proxy.heal()
        for index, instance in enumerate(world.registry.processes):
            if instance is None:
                world.registry.start(index)
        ended = [node for node in world.nodes if node.process is None or node.process.poll() is not None]
        world.launch(ended)
        for node in ended:
            start, _ = self.downtimes[node.port].pop()
            self.downtimes[node.port].append((start, time.monotonic()))

    def _draw_running_node(self) -> int:
        running = [
            at for at, node in enumerate(self._world.nodes) if node.process and node.process.poll() is None
        ]
        return self._rng.choice(running)

    def _kill_node(self) -> None:
        node = self._world.nodes[self._draw_running_node()]
        self.downtimes[node.port].append((time.monotonic(), float("inf")))
        node.kill()

    def _pause_node(self, seconds: float) -> None:
        node = self._world.nodes[self._draw_running_node()]
        node.send(signal.SIGSTOP)
        time.sleep(seconds)
        node.send(signal.SIGCONT)

    def _cut_from_service(self) -> None:
        self._world.agent_proxies[self._draw_running_node()].partition()

    def _partition_nodes(self) -> None:
        indexes = range(self._world.plan.nodes)
        side = self._rng.sample(indexes, self._rng.randrange(1, len(indexes)))
        assert self._world.net is not None
        self._world.net.partition(side, [at for at in indexes if at not in side])

    def _kill_leader(self) -> None:
        registry = self._world.registry
        if all(registry.processes):
            with suppress(AssertionError):
                registry.kill(registry.leader())

    # -------------------------------------------------------------- result

    def result(self, samples: list[list[Sample]], outcomes: dict[str, Outcome]) -> Result:
        """Check the invariants on the samples of all nodes and the outcomes of all requests.

        A request counts as lost if it got no response although its node was running all the time.
        """
        lost = [
            name
            for name, outcome in outcomes.items()
            if outcome.status == 0
            and not any(
                start < outcome.sent_s + outcome.duration_s and outcome.sent_s < end
                for start, end in self.downtimes[outcome.port]
            )
        ]
        mixed, retried, checked = self._find_mixed(samples, outcomes)
        conflicts = version_conflicts(samples, self._world.plan.clock_bound_ms / 1000.0)
        excesses = quota_violations(samples)
        return {
            "activations": self.phases.total(),
            "phases": dict(self.phases),
            "injected": dict(self.injected),
            "requests": dict(Counter(str(outcome.status) for outcome in outcomes.values())),
            "live_lease_nodes_apart": len(conflicts),
            "apart": conflicts[:3],
            "shares_over_1": len(excesses),
            "requests_lost": len(lost),
            "requests_repeated": retried,
            "followed_throughout": checked,
            "requests_of_mixed_version": len(mixed),
            "mixed": mixed[:3],
            "goal": "apart 0, lost 0, mixed 0",
            "met": not (conflicts or excesses or lost or mixed),
        }

    def _find_mixed(
        self, samples: list[list[Sample]], outcomes: dict[str, Outcome]
    ) -> tuple[list[str], int, int]:
        """Return the requests that reached servers of both models, the number of retried and of checked ones.

        Every version but 0 routes to one model only, so such a request was sent by two versions. Checked are
        the requests during which their node followed versions other than 0 throughout.
        """
        models = {f"s{at}": at % 2 for at in range(self._world.plan.servers)}
        index_by_port = {node.port: at for at, node in enumerate(self._world.nodes)}
        mixed, retried, checked = [], 0, 0
        for name, servers in self._world.pool.servers_reached.items():
            outcome = outcomes.get(name)
            if outcome is None:
                continue
            retried += len(servers) > 1
            node_samples = samples[index_by_port[outcome.port]]
            if not _followed_version(node_samples, outcome.sent_s, outcome.sent_s + outcome.duration_s):
                continue
            checked += 1
            if len({models[server] for server in servers}) > 1:
                mixed.append(f"{name}: {servers}")
        return mixed, retried, checked


def _followed_version(samples: list[Sample], start: float, end: float) -> bool:
    """Return whether all samples around `start` to `end` show the node following a version other than 0."""
    first = bisect_right(samples, start, key=lambda sample: sample.answered_s) - 1
    last = bisect_left(samples, end, key=lambda sample: sample.requested_s)
    if first < 0 or last >= len(samples):
        return False
    return all(
        sample.followed_version[1] == "following" and sample.followed_version[2]
        for sample in samples[first : last + 1]
    )
