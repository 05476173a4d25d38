"""Figures of the failure detector on a simulated network (tests/support/detector_simulation.py). Outside CI.

    python bench/failure_detector.py kill [--sizes 2,7,25,100 --rounds 10]
    python bench/failure_detector.py false [--sizes 2,7,25,100 --minutes 5 --runs 3]
    python bench/failure_detector.py hold [--sizes 2,7,25,100 --rounds 5 --ttl 5000]
    python bench/failure_detector.py cost [--sizes 2,7,25,100 --seconds 20]

Each prints JSON lines, by the size of the group.

`kill`: ms from a node's end to `unheard` at each other node, by what callers see of the end and by links
(fast: 0.3 to 1 ms a message; slow: 20 to 200 ms and 2% of calls lost).
`false`: changes of live nodes under slow links, 2% lost and one node stopped for 300 ms again and again.
`hold`: all nodes lose the list service; ms from when each begins to hold to when it knows that a majority
does.
`cost`, while attached and while all hold: probes a node sends a second, bytes of a probe and an ack without a
view, bytes of payload in and out of a node a second, real CPU of the simulation for a node's second.
"""

from __future__ import annotations

import argparse
import math
import sys
import time
from collections.abc import Iterator
from pathlib import Path

import orjson

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from bench.figures import quantile
from loadbalancer.membership import QuotaStatus, Reachability
from tests.support.detector_simulation import Gone, Node, World

FAST, SLOW = (0.3, 1.0), (20.0, 200.0)


def say(**figures: object) -> None:
    print(orjson.dumps(figures).decode(), flush=True)


def kill(size: int, rounds: int) -> None:
    for links, delay, loss in (("fast", FAST, 0.0), ("slow", SLOW, 0.02)):
        for gone in Gone:
            times: list[float] = []
            for seed in range(rounds):
                times += _waits_to_failed(size, seed, gone, delay, loss)
            say(kill=gone.value, nodes=size, links=links, **spread(times))


def _waits_to_failed(
    size: int, seed: int, gone: Gone, delay: tuple[float, float], loss: float
) -> Iterator[float]:
    world = World(size, seed, delay=delay, loss=loss)
    world.run(3000 + 37 * seed)
    killed_at = world.now
    world.kill(1, gone)
    world.run(30_000)
    failures = reversed(world.turned(Reachability.UNREACHABLE))
    first = {who: at for at, who, of in failures if of == 1}
    return (first.get(who, math.inf) - killed_at for who in world.nodes if who != 1)


def false_verdicts(nodes: int, minutes: float, seed: int) -> dict[str, object]:
    world = World(nodes, seed, delay=SLOW, loss=0.02)
    every = 600.0 + 200 * seed
    world.stop_every(nodes, every, lasts=300.0)
    world.run(minutes * 60_000)
    changed = [state for state in Reachability if state is not Reachability.ALIVE]
    turned = {state.value: len(world.turned(state)) for state in changed}
    return {"false": turned, "nodes": nodes, "minutes": minutes, "stopped_every_ms": every, "seed": seed}


def hold(size: int, rounds: int, ttl_ms: float) -> None:
    for links, delay, loss in (("fast", FAST, 0.0), ("slow", SLOW, 0.02)):
        waits: list[float] = []
        for seed in range(rounds):
            world = _attached(size, seed, delay, loss)
            world.cut_from_service(ttl_ms)
            waits += world.majority_waits(2 * ttl_ms)
        say(hold=ttl_ms, nodes=size, links=links, limit_ms=0.45 * ttl_ms, **spread(waits))


def _attached(size: int, seed: int, delay: tuple[float, float] = FAST, loss: float = 0.0) -> World:
    world = World(size, seed, delay=delay, loss=loss)
    for node in world.nodes.values():
        node.quota_status = QuotaStatus.ATTACHED
    world.run(3000)
    return world


def cost(size: int, seconds: float) -> None:
    world = _attached(size, 1)
    say(cost="attached", nodes=size, **_spent(world, seconds))
    world.cut_from_service(5000)
    world.run(5000)
    say(cost="all hold", nodes=size, **_spent(world, seconds))


def _spent(world: World, seconds: float) -> dict[str, float]:
    """What a node spends, over some seconds from now."""
    size = len(world.nodes)
    before = [_counts(node) for node in world.nodes.values()]
    start = time.process_time()
    world.run(seconds * 1000)
    used = time.process_time() - start
    after = [_counts(node) for node in world.nodes.values()]
    spent = [[new - old for new, old in zip(*pair, strict=True)] for pair in zip(after, before, strict=True)]
    probes, probe_bytes, ack_bytes = (sum(column) for column in zip(*spent, strict=True))
    return {
        "probes_per_node_s": round(probes / size / seconds, 2),
        "most_probes_per_node_s": round(max(row[0] for row in spent) / seconds, 2),
        "probe_bytes": round(probe_bytes / probes),
        "ack_bytes": round(ack_bytes / probes),
        "payload_bytes_in_and_out_per_node_s": round(2 * (probe_bytes + ack_bytes) / size / seconds),
        "cpu_percent_per_node": round(100 * used / size / seconds, 3),
    }


def _counts(node: Node) -> tuple[int, int, int]:
    return node.sent, node.sent_bytes, node.ack_bytes_received


def spread(times: list[float]) -> dict[str, float]:
    p50, p99 = (round(quantile(times, share)) for share in (0.5, 0.99))
    return {"samples": len(times), "p50_ms": p50, "p99_ms": p99, "max_ms": round(max(times))}


def main() -> None:
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("what", choices=["kill", "false", "hold", "cost"])
    parser.add_argument("--sizes", default="2,7,25,100")
    parser.add_argument("--rounds", type=int, default=10)
    parser.add_argument("--minutes", type=float, default=5)
    parser.add_argument("--runs", type=int, default=3)
    parser.add_argument("--seconds", type=float, default=20)
    parser.add_argument("--ttl", type=float, default=5000)
    given = parser.parse_args()
    for size in map(int, given.sizes.split(",")):
        if given.what == "kill":
            kill(size, given.rounds)
        elif given.what == "false":
            for seed in range(given.runs):
                say(**false_verdicts(size, given.minutes, seed))
        elif given.what == "hold":
            hold(size, given.rounds, given.ttl)
        else:
            cost(size, given.seconds)


if __name__ == "__main__":
    main()
