"""Benchmarks of bench/fleet.py on membership: failure detection and its cost, renewals, partitions."""

from __future__ import annotations

import asyncio
import random
import signal
import statistics
import time
from collections import Counter
from collections.abc import Iterator
from pathlib import Path

from bench.failure_detector import false_verdicts
from bench.figures import quantile, rss_mb
from bench.fleet_world import LIMIT_S, LogReader, MembersSampler, Plan, Result, World, cpu_ms, spread
from bench.renewals import renewals
from loadbalancer.membership import Reachability
from tests.support.invariant_sampler import min_quota
from tests.support.registry_processes import until

STEP_S = 0.02  # between two moments at which the quotas are summed


def detect(folder: Path, nodes: int, rounds: int, ttl_ms: int, seed: int) -> Iterator[Result]:
    """Kill a node: ms until it is `unheard` at the others; ms from lease expiry until they hold its quota."""
    rng = random.Random(seed)
    slowest, detections, recoveries = [], [], []
    with World(folder, Plan(nodes, ttl_ms=ttl_ms)) as world:
        for _ in range(rounds):
            world.wait_until_quotas_equal()
            times, recovery_ms = _kill_and_restart(world, rng.randrange(nodes))
            detections += times
            slowest.append(max(times))
            recoveries.append(recovery_ms)
    yield {
        "figure": "detect",
        "nodes": nodes,
        "rounds": rounds,
        "to_failed_ms": spread(detections),
        "to_failed_at_all_ms": spread(slowest),
        "share_back_after_lapse_ms": spread(recoveries),
        "goal": "p99 < 1500, share back < 2000",
        "met": quantile(slowest, 0.99) < 1500 and max(recoveries) < 2000,
    }


def _kill_and_restart(world: World, victim: int) -> tuple[list[float], float]:
    """Return the ms to `unheard` at each other node, and from lease expiry until they hold the quota."""
    others = [at for at in range(world.plan.nodes) if at != victim]
    incarnation = world.status(victim)["incarnation"]
    logs = {at: LogReader(world.nodes[at].log) for at in others}
    for log in logs.values():
        log.read()
    killed = time.time()
    world.nodes[victim].kill()
    times: dict[int, float] = {}
    message = f"members: incarnation {incarnation} is unheard"

    def unheard() -> bool:
        for at, log in logs.items():
            for logged, line in log.read():
                if message in line:
                    times.setdefault(at, (logged - killed) * 1000.0)
        return len(times) == len(others)

    until(unheard, LIMIT_S, "unheard at all other nodes")

    def expired() -> bool:
        return all(
            record["state"] != "live"
            for record in world.member_records()
            if record["incarnation"] == incarnation
        )

    until(expired, LIMIT_S, "the lease expired")
    expired_at, quota = time.monotonic(), 1.0 / len(others)
    until(
        lambda: min(status["share"] for status in world.statuses(others)) > quota - 1e-6,
        LIMIT_S,
        "the others holding the quota",
    )
    recovery_ms = (time.monotonic() - expired_at) * 1000.0
    verdicts = [
        row["verdict"]
        for status in world.statuses(others)
        for row in status["siblings"]
        if row["incarnation"] == incarnation
    ]
    assert set(verdicts) <= {"failed"}, verdicts
    world.launch([world.nodes[victim]])
    return list(times.values()), recovery_ms


def quiet(
    folder: Path, nodes: int, minutes: float, sim_nodes: int, sim_minutes: float, runs: int, seed: int
) -> Iterator[Result]:
    """Wrong verdicts with 2% of calls lost, delays of 20 to 200 ms and repeated pauses of a node."""
    for run_seed in range(seed, seed + runs):
        yield _quiet_simulated(sim_nodes, sim_minutes, run_seed)
    yield _quiet_real(folder, nodes, minutes, seed)


def _quiet_simulated(nodes: int, minutes: float, seed: int) -> Result:
    found = false_verdicts(nodes, minutes, seed)
    changes = found.pop("false")
    assert isinstance(changes, dict)
    result = {"figure": "quiet", "kind": "simulated", "turned": changes} | found
    return result | {"goal": "unheard 0", "met": changes["unheard"] == 0}


def _quiet_real(folder: Path, nodes: int, minutes: float, seed: int) -> Result:
    rng = random.Random(seed)
    everyone = range(nodes)
    with World(folder, Plan(nodes, relayed=True, ttl_ms=5_000, seed=seed)) as world:
        world.wait_until_quotas_equal()
        assert world.net is not None
        for sender in everyone:
            for receiver in everyone:
                world.net.delay(sender, receiver, 20.0, 180.0)
        world.net.lose(everyone, everyone, 0.02)
        logs = [LogReader(node.log) for node in world.nodes]
        for log in logs:
            log.read()
        end, pauses = time.monotonic() + minutes * 60.0, 0
        while time.monotonic() < end:
            paused = world.nodes[rng.randrange(nodes)]
            paused.send(signal.SIGSTOP)
            time.sleep(0.3)
            paused.send(signal.SIGCONT)
            pauses += 1
            time.sleep(rng.uniform(0.3, 1.5))
        logged = Counter(
            line.split(" is ")[1].split(",")[0]
            for log in logs
            for _, line in log.read()
            if "members: incarnation" in line
        )
        failed = sum(world.metrics("members_failed"))
        probes = sum(world.metrics("members_asks"))
        lost = sum(link.lost_calls for link in world.net.links.values())
    changes = {state.value: logged[state.value] for state in Reachability if state is not Reachability.ALIVE}
    result = {"figure": "quiet", "kind": "processes", "nodes": nodes, "minutes": minutes, "stops": pauses}
    return result | {
        "asks": round(probes),
        "calls_lost": lost,
        "turned": changes,
        "failed_at_end": round(failed),
        "goal": "unheard 0",
        "met": changes["unheard"] == 0 and not failed,
    }


def cost(folder: Path, sizes: str, seconds: float, settle: float) -> Iterator[Result]:
    """CPU, memory and calls of a node with `members`, by fleet size, compared with a node without them."""
    for size in map(int, sizes.split(",")):
        (folder / str(size)).mkdir()
        with World(folder / str(size), Plan(size, ttl_ms=5_000)) as world:
            plain = world.make_node(0, members=False)
            world.launch([plain])
            try:
                world.wait_until_quotas_equal()
                time.sleep(settle)
                yield _cost_per_node(world, plain.process.pid if plain.process else 0, seconds)
            finally:
                plain.kill()


def _cost_per_node(world: World, plain_pid: int, seconds: float) -> Result:
    """Compare the nodes of `world` over `seconds` with the process `plain_pid`, a node without `members`."""
    pids = [node.process.pid for node in world.nodes if node.process is not None]
    calls_before, start = world.metrics("members_asks"), time.monotonic()
    cpu_before = {pid: cpu_ms(pid) for pid in [*pids, plain_pid]}
    time.sleep(seconds)
    span_ms = (time.monotonic() - start) * 1000.0
    cpu_percent = {pid: 100.0 * (cpu_ms(pid) - cpu_before[pid]) / span_ms for pid in cpu_before}
    calls_after = world.metrics("members_asks")
    calls = [
        1000.0 * (after - before) / span_ms for after, before in zip(calls_after, calls_before, strict=True)
    ]
    node_percents = [cpu_percent[pid] for pid in pids]
    median = statistics.median(node_percents)
    return {
        "figure": "cost",
        "nodes": len(pids),
        "calls_per_node_s": {"mean": round(statistics.mean(calls), 2), "max": round(max(calls), 2)},
        "cpu_percent": {"median": round(median, 2), "max": round(max(node_percents), 2)},
        "cpu_percent_without": round(cpu_percent[plain_pid], 2),
        "rss_mb": round(statistics.median(rss_mb(pid) for pid in pids), 1),
        "rss_mb_without": round(rss_mb(plain_pid), 1),
        "goal": "constant calls, CPU under 2 at 100",
        "met": median < 2.0,
    }


def service(folder: Path, members: int, seconds: float, ttl_ms: int) -> Iterator[Result]:
    """Load on the list service of `members` members that renew their leases (bench/renewals.py)."""
    found = asyncio.run(renewals(folder, members, seconds, ttl_ms, group_size=0))
    del found["bench"]
    yield {"figure": "service"} | found | {"goal": "no renewal late", "met": not found["late"]}


def split(folder: Path, nodes: int, ttl_ms: int, rounds: int, seed: int) -> Iterator[Result]:
    """Sum of the quotas while one of three zones is cut off from the others and the list service."""
    rng = random.Random(seed)
    with World(folder, Plan(nodes, ttl_ms=ttl_ms, zones=3, relayed=True, seed=seed)) as world:
        world.wait_until_quotas_equal()
        sampler = MembersSampler(world.nodes, period_s=0.1)
        try:
            for number in range(rounds):
                yield _partition_and_heal(world, sampler, number % 3, rng.uniform(0.0, 0.3))
        finally:
            sampler.stop()


def _partition_and_heal(world: World, sampler: MembersSampler, zone: int, wait_s: float) -> Result:
    """Partition the zone until the other nodes have taken over its quotas, then heal it."""
    assert world.net is not None
    inside = world.nodes_in_zone(zone)
    outside = [at for at in range(world.plan.nodes) if at not in inside]
    time.sleep(0.5 + wait_s)
    cut = time.monotonic()
    world.net.partition(inside, outside)
    for at in inside:
        world.agent_proxies[at].partition()
    until(
        lambda: min(status["share"] for status in world.statuses(outside)) > 1.0 / len(outside) - 1e-6,
        LIMIT_S,
        "the other nodes holding all quotas",
    )
    time.sleep(1.0)
    healed = time.monotonic()
    world.net.heal()
    for at in inside:
        world.agent_proxies[at].heal()
    world.wait_until_quotas_equal(siblings_present=False)
    end = time.monotonic()
    moments = [cut + STEP_S * step for step in range(int((end - cut) / STEP_S))]
    latest_sums = [(moment, _sum_of_latest(sampler, moment)) for moment in moments]
    certain_sums = [sum(min_quota(samples, moment) for samples in sampler.samples) for moment in moments]
    low_moments = [moment for moment, total in latest_sums if total < 0.95]
    low_after_cut_s, low_after_heal_s = (
        STEP_S * sum((moment < healed) is before_heal for moment in low_moments)
        for before_heal in (True, False)
    )
    max_certain = max(certain_sums)
    limit_s = world.plan.ttl_ms / 1000.0 + 2.0
    return {
        "figure": "split",
        "nodes": world.plan.nodes,
        "zone": zone,
        "ttl_ms": world.plan.ttl_ms,
        "sum_max_surely": round(max_certain, 4),
        "sum_max_of_last_samples": round(max(total for _, total in latest_sums), 4),
        "sum_min": round(min(total for _, total in latest_sums), 4),
        "under_95_after_cut_s": round(low_after_cut_s, 2),
        "under_95_after_heal_s": round(low_after_heal_s, 2),
        "goal": f"sum <= 1.05, under 0.95 for at most {limit_s:.1f} s",
        "met": max_certain <= 1.05 and low_after_cut_s <= limit_s and low_after_heal_s <= limit_s,
    }


def _sum_of_latest(sampler: MembersSampler, moment: float) -> float:
    """Return the sum of the quotas in each node's last sample before the moment, however old it is."""
    total = 0.0
    for samples in sampler.samples:
        for sample in reversed(samples):
            if sample.answered_s <= moment:
                total += sample.quota
                break
    return total
