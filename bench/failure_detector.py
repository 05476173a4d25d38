"""Measures the failure detector on a simulated network (tests/support/detector_simulation.py). Not run in CI.

    python bench/failure_detector.py kill [--sizes 2,7,25,100 --rounds 10]
    python bench/failure_detector.py false [--sizes 2,7,25,100 --minutes 5 --runs 3]
    python bench/failure_detector.py hold [--sizes 2,7,25,100 --rounds 5 --ttl 5000]
    python bench/failure_detector.py cost [--sizes 2,7,25,100 --seconds 20]

Each command prints JSON lines, one per group size.

`kill`: ms from the end of a node until each other node has it as `unheard`, by how calls to it fail and by
links (fast: 0.3 to 1 ms per message; slow: 20 to 200 ms and 2% of calls lost). `false`: transitions of live
nodes with slow links, 2% of calls lost and one node paused for 300 ms repeatedly. `hold`: all nodes lose the
list service; ms from when each node begins to hold its quota until it knows that a majority does. `cost`,
while attached and while all hold: probes per node and second, bytes of a probe and of an ack without a view,
payload bytes in and out per node and second, CPU time of the simulation per node and second.
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
from tests.support.detector_simulation import DetectorSimulation, ProcessEnd, SimulatedNode

FAST, SLOW = (0.3, 1.0), (20.0, 200.0)


def print_json(**figures: object) -> None:
    print(orjson.dumps(figures).decode(), flush=True)


def kill(size: int, rounds: int) -> None:
    for links, delay, loss in (("fast", FAST, 0.0), ("slow", SLOW, 0.02)):
        for process_end in ProcessEnd:
            times: list[float] = []
            for seed in range(rounds):
                times += _waits_to_failed(size, seed, process_end, delay, loss)
            print_json(kill=process_end.value, nodes=size, links=links, **spread(times))


def _waits_to_failed(
    size: int, seed: int, process_end: ProcessEnd, delay: tuple[float, float], loss: float
) -> Iterator[float]:
    simulation = DetectorSimulation(size, seed, delay=delay, loss=loss)
    simulation.run(3000 + 37 * seed)
    killed_at = simulation.now
    simulation.kill(1, process_end)
    simulation.run(30_000)
    failures = reversed(simulation.transitions_to(Reachability.UNREACHABLE))
    first = {observer: at for at, observer, member in failures if member == 1}
    return (first.get(observer, math.inf) - killed_at for observer in simulation.nodes if observer != 1)


def false_verdicts(nodes: int, minutes: float, seed: int) -> dict[str, object]:
    simulation = DetectorSimulation(nodes, seed, delay=SLOW, loss=0.02)
    interval_ms = 600.0 + 200 * seed
    simulation.pause_periodically(nodes, interval_ms, duration_ms=300.0)
    simulation.run(minutes * 60_000)
    changed = [state for state in Reachability if state is not Reachability.ALIVE]
    transitions = {state.value: len(simulation.transitions_to(state)) for state in changed}
    return {
        "false": transitions,
        "nodes": nodes,
        "minutes": minutes,
        "stopped_every_ms": interval_ms,
        "seed": seed,
    }


def hold(size: int, rounds: int, ttl_ms: float) -> None:
    for links, delay, loss in (("fast", FAST, 0.0), ("slow", SLOW, 0.02)):
        waits: list[float] = []
        for seed in range(rounds):
            simulation = _attached(size, seed, delay, loss)
            simulation.disconnect_from_registry(ttl_ms)
            waits += simulation.majority_waits(2 * ttl_ms)
        print_json(hold=ttl_ms, nodes=size, links=links, limit_ms=0.45 * ttl_ms, **spread(waits))


def _attached(
    size: int, seed: int, delay: tuple[float, float] = FAST, loss: float = 0.0
) -> DetectorSimulation:
    simulation = DetectorSimulation(size, seed, delay=delay, loss=loss)
    for node in simulation.nodes.values():
        node.quota_status = QuotaStatus.ATTACHED
    simulation.run(3000)
    return simulation


def cost(size: int, seconds: float) -> None:
    simulation = _attached(size, 1)
    print_json(cost="attached", nodes=size, **_cost_per_node(simulation, seconds))
    simulation.disconnect_from_registry(5000)
    simulation.run(5000)
    print_json(cost="all hold", nodes=size, **_cost_per_node(simulation, seconds))


def _cost_per_node(simulation: DetectorSimulation, seconds: float) -> dict[str, float]:
    """Cost per node, over the next `seconds`."""
    size = len(simulation.nodes)
    before = [_counts(node) for node in simulation.nodes.values()]
    start = time.process_time()
    simulation.run(seconds * 1000)
    used = time.process_time() - start
    after = [_counts(node) for node in simulation.nodes.values()]
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


def _counts(node: SimulatedNode) -> tuple[int, int, int]:
    return node.calls_sent, node.sent_bytes, node.ack_bytes_received


def spread(times: list[float]) -> dict[str, float]:
    p50, p99 = (round(quantile(times, fraction)) for fraction in (0.5, 0.99))
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
    arguments = parser.parse_args()
    for size in map(int, arguments.sizes.split(",")):
        if arguments.what == "kill":
            kill(size, arguments.rounds)
        elif arguments.what == "false":
            for seed in range(arguments.runs):
                print_json(**false_verdicts(size, arguments.minutes, seed))
        elif arguments.what == "hold":
            hold(size, arguments.rounds, arguments.ttl)
        else:
            cost(size, arguments.seconds)


if __name__ == "__main__":
    main()
