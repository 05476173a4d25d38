"""Figures of the failure detector on the network of tests/detector_sim.py, in simulated time. Outside CI.

    python bench/failure_detector.py kill [--nodes 20 --rounds 20]
    python bench/failure_detector.py false [--nodes 20 --minutes 5 --runs 5]
    python bench/failure_detector.py cost [--seconds 20]

Each prints JSON lines. `kill`: ms from a node's end to `unheard` at each other node, by what callers see of
the end and by links (fast: 0.3 to 1 ms a message; slow: 20 to 200 ms and 2% of calls lost). `false`: changes
of live nodes under slow links, 2% lost and one node stopped for 300 ms again and again. `cost`: calls a node
sends a second, bytes of a call with standings and no view, real CPU of the simulation for a node's second.
"""

from __future__ import annotations

import argparse
import sys
import time
from pathlib import Path

import orjson

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from orchidledge.members import Reachability, Standing
from tests.detector_sim import Gone, World

FAST, SLOW = (0.3, 1.0), (20.0, 200.0)


def quantile(values: list[float], share: float) -> float:
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))]


def say(**figures: object) -> None:
    print(orjson.dumps(figures).decode(), flush=True)


def kill(nodes: int, rounds: int) -> None:
    for links, delay, loss in (("fast", FAST, 0.0), ("slow", SLOW, 0.02)):
        for gone in Gone:
            times: list[float] = []
            for seed in range(rounds):
                world = World(nodes, seed, delay=delay, loss=loss)
                world.run(3000 + 37 * seed)
                killed_at = world.now
                world.kill(5, gone)
                world.run(10_000)
                failures = reversed(world.turned(Reachability.UNREACHABLE))
                first = {who: at for at, who, of in failures if of == 5}
                times += [at - killed_at for at in first.values()]
                times += [float("inf")] * (nodes - 1 - len(first))
            p50, p99 = (round(quantile(times, share)) for share in (0.5, 0.99))
            say(
                kill=gone.value,
                links=links,
                samples=len(times),
                p50_ms=p50,
                p99_ms=p99,
                max_ms=round(max(times)),
            )


def false_verdicts(nodes: int, minutes: float, seed: int) -> dict[str, object]:
    world = World(nodes, seed, delay=SLOW, loss=0.02)
    every = 600.0 + 200 * seed
    world.stop_every(3, every, lasts=300.0)
    world.run(minutes * 60_000)
    changed = [state for state in Reachability if state is not Reachability.ALIVE]
    turned = {state.value: len(world.turned(state)) for state in changed}
    return {"false": turned, "nodes": nodes, "minutes": minutes, "stopped_every_ms": every, "seed": seed}


def cost(seconds: float) -> None:
    for size in (10, 20, 50, 100):
        world = World(size, 1)
        for node in world.nodes.values():
            node.detector.set_standing(world.clock(node), Standing.ATTACHED, 1.7e12)
        world.run(5000)
        before = [(node.sent, node.sent_bytes, node.ack_bytes_received) for node in world.nodes.values()]
        start = time.process_time()
        world.run(seconds * 1000)
        used = time.process_time() - start
        after = [(node.sent, node.sent_bytes, node.ack_bytes_received) for node in world.nodes.values()]
        spent = [
            [new - old for new, old in zip(*pair, strict=True)] for pair in zip(after, before, strict=True)
        ]
        calls, asked, answered = (sum(column) for column in zip(*spent, strict=True))
        say(
            nodes=size,
            calls_per_node_s=round(calls / size / seconds, 2),
            most_calls_per_node_s=round(max(row[0] for row in spent) / seconds, 2),
            probe_bytes=round(asked / calls),
            ack_bytes=round(answered / calls),
            cpu_percent_per_node=round(100 * used / size / seconds, 3),
        )


def main() -> None:
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("what", choices=["kill", "false", "cost"])
    parser.add_argument("--nodes", type=int, default=20)
    parser.add_argument("--rounds", type=int, default=20)
    parser.add_argument("--minutes", type=float, default=5)
    parser.add_argument("--runs", type=int, default=5)
    parser.add_argument("--seconds", type=float, default=20)
    given = parser.parse_args()
    if given.what == "kill":
        kill(given.nodes, given.rounds)
    elif given.what == "false":
        for seed in range(given.runs):
            say(**false_verdicts(given.nodes, given.minutes, seed))
    else:
        cost(given.seconds)


if __name__ == "__main__":
    main()
