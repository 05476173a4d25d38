"""Figures of bench/fleet.py on who is there: detection, false verdicts, cost, shares through a split."""

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
from bench.fleet_world import LIMIT_S, Figures, Plan, Samples, Tail, World, cpu_ms, spread
from bench.renewals import renewals
from loadbalancer.membership import Reachability
from tests.support.invariant_sampler import min_share
from tests.support.registry_processes import until

STEP_S = 0.02  # between the moments at which shares are summed


def detect(folder: Path, nodes: int, rounds: int, ttl_ms: int, seed: int) -> Iterator[Figures]:
    """kill -9 of a node: ms to `unheard` (`failed`) at each other; from its lease's end to shares back up."""
    rng = random.Random(seed)
    last, all_of, back = [], [], []
    with World(folder, Plan(nodes, ttl_ms=ttl_ms)) as world:
        for _ in range(rounds):
            world.until_shared()
            times, up_ms = _one_end(world, rng.randrange(nodes))
            all_of += times
            last.append(max(times))
            back.append(up_ms)
    yield {
        "figure": "detect",
        "nodes": nodes,
        "rounds": rounds,
        "to_failed_ms": spread(all_of),
        "to_failed_at_all_ms": spread(last),
        "share_back_after_lapse_ms": spread(back),
        "goal": "p99 < 1500, share back < 2000",
        "met": quantile(last, 0.99) < 1500 and max(back) < 2000,
    }


def _one_end(world: World, victim: int) -> tuple[list[float], float]:
    others = [at for at in range(world.plan.nodes) if at != victim]
    incarnation = world.status(victim)["incarnation"]
    tails = {at: Tail(world.nodes[at].log) for at in others}
    for tail in tails.values():
        tail.read()
    killed = time.time()
    world.nodes[victim].kill()
    times: dict[int, float] = {}
    mark = f"members: incarnation {incarnation} is unheard"

    def unheard() -> bool:
        for at, tail in tails.items():
            for stamp, line in tail.read():
                if mark in line:
                    times.setdefault(at, (stamp - killed) * 1000.0)
        return len(times) == len(others)

    until(unheard, LIMIT_S, "unheard at all others")

    def lapsed() -> bool:
        return all(row["state"] != "live" for row in world.rows() if row["incarnation"] == incarnation)

    until(lapsed, LIMIT_S, "the lease lapsed")
    at_lapse, part = time.monotonic(), 1.0 / len(others)
    until(
        lambda: min(found["share"] for found in world.statuses(others)) > part - 1e-6, LIMIT_S, "shares back"
    )
    up_ms = (time.monotonic() - at_lapse) * 1000.0
    failed = [
        row["verdict"]
        for found in world.statuses(others)
        for row in found["siblings"]
        if row["incarnation"] == incarnation
    ]
    assert set(failed) <= {"failed"}, failed
    world.launch([world.nodes[victim]])
    return list(times.values()), up_ms


def quiet(
    folder: Path, nodes: int, minutes: float, sim_nodes: int, sim_minutes: float, runs: int, seed: int
) -> Iterator[Figures]:
    """Wrong verdicts with 2% of calls lost, messages of 20 to 200 ms and one node stopped again and again."""
    for at in range(seed, seed + runs):
        yield _quiet_simulated(sim_nodes, sim_minutes, at)
    yield _quiet_real(folder, nodes, minutes, seed)


def _quiet_simulated(nodes: int, minutes: float, seed: int) -> Figures:
    found = false_verdicts(nodes, minutes, seed)
    turned = found.pop("false")
    assert isinstance(turned, dict)
    told = {"figure": "quiet", "kind": "simulated", "turned": turned} | found
    return told | {"goal": "unheard 0", "met": turned["unheard"] == 0}


def _quiet_real(folder: Path, nodes: int, minutes: float, seed: int) -> Figures:
    rng = random.Random(seed)
    everyone = range(nodes)
    with World(folder, Plan(nodes, relayed=True, ttl_ms=5_000, seed=seed)) as world:
        world.until_shared()
        assert world.net is not None
        for one in everyone:
            for other in everyone:
                world.net.delay(one, other, 20.0, 180.0)
        world.net.lose(everyone, everyone, 0.02)
        tails = [Tail(node.log) for node in world.nodes]
        for tail in tails:
            tail.read()
        until_s, stops = time.monotonic() + minutes * 60.0, 0
        while time.monotonic() < until_s:
            stopped = world.nodes[rng.randrange(nodes)]
            stopped.send(signal.SIGSTOP)
            time.sleep(0.3)
            stopped.send(signal.SIGCONT)
            stops += 1
            time.sleep(rng.uniform(0.3, 1.5))
        said = Counter(
            line.split(" is ")[1].split(",")[0]
            for tail in tails
            for _, line in tail.read()
            if "members: incarnation" in line
        )
        failed = sum(world.metrics("members_failed"))
        asks = sum(world.metrics("members_asks"))
        lost = sum(link.lost_calls for link in world.net.links.values())
    turned = {state.value: said[state.value] for state in Reachability if state is not Reachability.ALIVE}
    told = {"figure": "quiet", "kind": "processes", "nodes": nodes, "minutes": minutes, "stops": stops}
    return told | {
        "asks": round(asks),
        "calls_lost": lost,
        "turned": turned,
        "failed_at_end": round(failed),
        "goal": "unheard 0",
        "met": turned["unheard"] == 0 and not failed,
    }


def cost(folder: Path, sizes: str, seconds: float, settle: float) -> Iterator[Figures]:
    """What a node's knowing of the others costs, by the size of the fleet; one node without it beside."""
    for size in map(int, sizes.split(",")):
        (folder / str(size)).mkdir()
        with World(folder / str(size), Plan(size, ttl_ms=5_000)) as world:
            alone = world.node(0, members=False)
            world.launch([alone])
            try:
                world.until_shared()
                time.sleep(settle)
                yield _cost_of(world, alone.process.pid if alone.process else 0, seconds)
            finally:
                alone.kill()


def _cost_of(world: World, alone: int, seconds: float) -> Figures:
    pids = [node.process.pid for node in world.nodes if node.process is not None]
    asks, began = world.metrics("members_asks"), time.monotonic()
    before = {pid: cpu_ms(pid) for pid in [*pids, alone]}
    time.sleep(seconds)
    span_ms = (time.monotonic() - began) * 1000.0
    used = {pid: 100.0 * (cpu_ms(pid) - before[pid]) / span_ms for pid in before}
    after = world.metrics("members_asks")
    calls = [1000.0 * (now - then) / span_ms for now, then in zip(after, asks, strict=True)]
    of_nodes = [used[pid] for pid in pids]
    median = statistics.median(of_nodes)
    return {
        "figure": "cost",
        "nodes": len(pids),
        "calls_per_node_s": {"mean": round(statistics.mean(calls), 2), "max": round(max(calls), 2)},
        "cpu_percent": {"median": round(median, 2), "max": round(max(of_nodes), 2)},
        "cpu_percent_without": round(used[alone], 2),
        "rss_mb": round(statistics.median(rss_mb(pid) for pid in pids), 1),
        "rss_mb_without": round(rss_mb(alone), 1),
        "goal": "constant calls, CPU under 2 at 100",
        "met": median < 2.0,
    }


def service(folder: Path, members: int, seconds: float, ttl_ms: int) -> Iterator[Figures]:
    """The list service with so many members renewing (bench/renewals.py)."""
    found = asyncio.run(renewals(folder, members, seconds, ttl_ms, group_size=0))
    del found["bench"]
    yield {"figure": "service"} | found | {"goal": "no renewal late", "met": not found["late"]}


def split(folder: Path, nodes: int, ttl_ms: int, rounds: int, seed: int) -> Iterator[Figures]:
    """A zone of three cut off, nodes and list service, and joined again: the sum of shares throughout."""
    rng = random.Random(seed)
    with World(folder, Plan(nodes, ttl_ms=ttl_ms, zones=3, relayed=True, seed=seed)) as world:
        world.until_shared()
        samples = Samples(world.nodes, every_s=0.1)
        try:
            for at in range(rounds):
                yield _one_split(world, samples, at % 3, rng.uniform(0.0, 0.3))
        finally:
            samples.stop()


def _one_split(world: World, samples: Samples, zone: int, wait_s: float) -> Figures:
    assert world.net is not None
    inside = world.of_zone(zone)
    outside = [at for at in range(world.plan.nodes) if at not in inside]
    time.sleep(0.5 + wait_s)
    cut = time.monotonic()
    world.net.partition(inside, outside)
    for at in inside:
        world.agent_proxies[at].partition()
    until(
        lambda: min(found["share"] for found in world.statuses(outside)) > 1.0 / len(outside) - 1e-6,
        LIMIT_S,
        "the rest grown",
    )
    time.sleep(1.0)
    healed = time.monotonic()
    world.net.heal()
    for at in inside:
        world.agent_proxies[at].heal()
    world.until_shared(heard=False)
    end = time.monotonic()
    moments = [cut + STEP_S * step for step in range(int((end - cut) / STEP_S))]
    sums = [(moment, _latest_sum(samples, moment)) for moment in moments]
    sure = [sum(min_share(of, moment) for of in samples.of) for moment in moments]
    low = [moment for moment, total in sums if total < 0.95]
    low_cut, low_heal = (
        STEP_S * sum((moment < healed) is before for moment in low) for before in (True, False)
    )
    most = max(sure)
    limit_s = world.plan.ttl_ms / 1000.0 + 2.0
    return {
        "figure": "split",
        "nodes": world.plan.nodes,
        "zone": zone,
        "ttl_ms": world.plan.ttl_ms,
        "sum_max_surely": round(most, 4),
        "sum_max_of_last_samples": round(max(total for _, total in sums), 4),
        "sum_min": round(min(total for _, total in sums), 4),
        "under_95_after_cut_s": round(low_cut, 2),
        "under_95_after_heal_s": round(low_heal, 2),
        "goal": f"sum <= 1.05, under 0.95 for at most {limit_s:.1f} s",
        "met": most <= 1.05 and low_cut <= limit_s and low_heal <= limit_s,
    }


def _latest_sum(samples: Samples, moment: float) -> float:
    """Of what each node said last before the moment; what is older than 1 s counts still."""
    total = 0.0
    for of in samples.of:
        for sample in reversed(of):
            if sample.answered_s <= moment:
                total += sample.share
                break
    return total
