"""Benchmarks of the failure detector on a simulated network (tests/support/detector_simulation.py).

CI does not run them.

    python bench/failure_detector.py kill [--sizes 2,7,25,100 --rounds 10]
    python bench/failure_detector.py false [--sizes 2,7,25,100 --minutes 5 --runs 3]
    python bench/failure_detector.py hold [--sizes 2,7,25,100 --rounds 5 --ttl 5000]
    python bench/failure_detector.py cost [--sizes 2,7,25,100 --seconds 20]

Each benchmark prints JSON lines, one or more for each group size.

`kill`: ms from the end of a node until each other node reports it as `unheard`, by how a call to the ended
node fails and by link speed (fast: 0.3 to 1 ms per message; slow: 20 to 200 ms and 2% of calls lost).
`false`: state changes reported of running nodes, with slow links, 2% of calls lost and one node repeatedly
paused for 300 ms.
`hold`: all nodes lose the list service; ms from the moment at which a node's quota status becomes `holding`
until the node knows that a majority of nodes is `holding`.
`cost`, first with all nodes attached, then with all `holding`: probes sent per node and second, bytes of a
probe and of an ack, bytes of payload received and sent per node and second, and the CPU time that the
simulation uses for one second of one node.
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


def print_result(**result: object) -> None:
    """Print one JSON line at once, without buffering."""
    print(orjson.dumps(result).decode(), flush=True)


def measure_kill(size: int, rounds: int) -> None:
    """Print the detection times of ended nodes for each kind of link and each way a call to them fails."""
    for links, delay, loss in (("fast", FAST, 0.0), ("slow", SLOW, 0.02)):
        for process_end in ProcessEnd:
            times: list[float] = []
            for seed in range(rounds):
                times += _detection_times(size, seed, process_end, delay, loss)
            print_result(kill=process_end.value, nodes=size, links=links, **spread(times))


def _detection_times(
    size: int, seed: int, process_end: ProcessEnd, delay: tuple[float, float], loss: float
) -> Iterator[float]:
    """End node 1; return the ms until each other node reports it as `unheard`, or inf after 30 s."""
    simulation = DetectorSimulation(size, seed, delay=delay, loss=loss)
    simulation.run(3000 + 37 * seed)
    killed_at = simulation.now
    simulation.kill(1, process_end)
    simulation.run(30_000)
    # Reversed, so that the first of several reports by one observer is retained.
    reports = reversed(simulation.transitions_to(Reachability.UNREACHABLE))
    first_report = {observer: at for at, observer, target in reports if target == 1}
    return (
        first_report.get(observer, math.inf) - killed_at for observer in simulation.nodes if observer != 1
    )


def false_verdicts(nodes: int, minutes: float, seed: int) -> dict[str, object]:
    """Count the state changes that are reported while every node is running; `false` has them by state."""
    simulation = DetectorSimulation(nodes, seed, delay=SLOW, loss=0.02)
    pause_period_ms = 600.0 + 200 * seed
    simulation.pause_periodically(nodes, pause_period_ms, duration_ms=300.0)
    simulation.run(minutes * 60_000)
    states = [state for state in Reachability if state is not Reachability.ALIVE]
    changes = {state.value: len(simulation.transitions_to(state)) for state in states}
    return {
        "false": changes,
        "nodes": nodes,
        "minutes": minutes,
        "stopped_every_ms": pause_period_ms,
        "seed": seed,
    }


def measure_hold(size: int, rounds: int, ttl_ms: float) -> None:
    """Print how long nodes without the list service wait until they know that a majority is `holding`."""
    for links, delay, loss in (("fast", FAST, 0.0), ("slow", SLOW, 0.02)):
        waits: list[float] = []
        for seed in range(rounds):
            simulation = _attached(size, seed, delay, loss)
            simulation.disconnect_from_registry(ttl_ms)
            waits += simulation.majority_waits(2 * ttl_ms)
        print_result(hold=ttl_ms, nodes=size, links=links, limit_ms=0.45 * ttl_ms, **spread(waits))


def _attached(
    size: int, seed: int, delay: tuple[float, float] = FAST, loss: float = 0.0
) -> DetectorSimulation:
    """Return a simulated network whose nodes have all been attached to the list service for 3 s."""
    simulation = DetectorSimulation(size, seed, delay=delay, loss=loss)
    for node in simulation.nodes.values():
        node.quota_status = QuotaStatus.ATTACHED
    simulation.run(3000)
    return simulation


def measure_cost(size: int, seconds: float) -> None:
    """Print what the detector costs a node: while all nodes are attached, and while all are `holding`."""
    simulation = _attached(size, 1)
    print_result(cost="attached", nodes=size, **_cost_per_node(simulation, seconds))
    simulation.disconnect_from_registry(5000)
    simulation.run(5000)
    print_result(cost="all hold", nodes=size, **_cost_per_node(simulation, seconds))


def _cost_per_node(simulation: DetectorSimulation, seconds: float) -> dict[str, float]:
    """Run the simulation for `seconds` and return the probes, bytes and CPU time that a node used."""
    size = len(simulation.nodes)
    before = [_counters(node) for node in simulation.nodes.values()]
    start_s = time.process_time()
    simulation.run(seconds * 1000)
    cpu_s = time.process_time() - start_s
    after = [_counters(node) for node in simulation.nodes.values()]
    increases = [
        [new - old for new, old in zip(*pair, strict=True)] for pair in zip(after, before, strict=True)
    ]
    probes, probe_bytes, ack_bytes = (sum(column) for column in zip(*increases, strict=True))
    return {
        "probes_per_node_s": round(probes / size / seconds, 2),
        "most_probes_per_node_s": round(max(row[0] for row in increases) / seconds, 2),
        "probe_bytes": round(probe_bytes / probes),
        "ack_bytes": round(ack_bytes / probes),
        "payload_bytes_in_and_out_per_node_s": round(2 * (probe_bytes + ack_bytes) / size / seconds),
        "cpu_percent_per_node": round(100 * cpu_s / size / seconds, 3),
    }


def _counters(node: SimulatedNode) -> tuple[int, int, int]:
    """Return the probes sent, the bytes of these probes and the bytes of the acks received."""
    return node.calls_sent, node.sent_bytes, node.ack_bytes_received


def spread(times: list[float]) -> dict[str, float]:
    """Return the number of times, their 50th and 99th percentile and their maximum."""
    p50, p99 = (round(quantile(times, fraction)) for fraction in (0.5, 0.99))
    return {"samples": len(times), "p50_ms": p50, "p99_ms": p99, "max_ms": round(max(times))}


def main() -> None:
    """Run the benchmark named on the command line, once for each group size."""
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
            measure_kill(size, arguments.rounds)
        elif arguments.what == "false":
            for seed in range(arguments.runs):
                print_result(**false_verdicts(size, arguments.minutes, seed))
        elif arguments.what == "hold":
            measure_hold(size, arguments.rounds, arguments.ttl)
        else:
            measure_cost(size, arguments.seconds)


if __name__ == "__main__":
    main()
