"""Benchmarks of the node's state file: its write cost, and restarts with it (warm) and without (cold).

CI does not run them.

    python bench/recovery.py write [--servers 10000 --writes 50]
    python bench/recovery.py restart [--rounds 20]
    python bench/recovery.py threshold
    python bench/recovery.py refusals [--rounds 3 --callers 16]

`write` encodes and writes (fsync, rename, fsync) the state file of a node with `--servers` listed servers.
`restart` runs a node process under constant load, kills it with SIGKILL and starts it again, with its state
file (warm) and without (cold), and measures the time from each start to the first request with status 200.
`threshold` runs a balancer under load, restores its state in a new one, and compares three thresholds: before
the restart, and in the first control period of a warm and of a cold start.
`refusals` loads a node in front of 4 servers, each with a capacity of 2 concurrent requests of 50 ms (others
get a 503), kills the node and counts the responses other than 200 in the 10 s after its restart, warm and
cold.
Each prints one JSON line.
"""

from __future__ import annotations

import argparse
import http.client
import statistics
import sys
import tempfile
import time
from collections import Counter
from pathlib import Path
from typing import Any

import orjson

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from loadbalancer.balancing import Balancer
from loadbalancer.balancing.actions import Send
from loadbalancer.balancing.events import (
    AttemptOutcome,
    EndpointListUpdate,
    Request,
    StateRestored,
    TimerFired,
)
from loadbalancer.endpoints import AttemptResult, EndpointListKind
from loadbalancer.node.discovery.response import DiscoveryResponse
from loadbalancer.node.state import snapshot
from loadbalancer.node.state.atomic_file import write_atomically
from tests.support.builders import make_endpoints, settings
from tests.support.load import Load
from tests.support.node_processes import Node
from tests.support.stub_servers import StubServerPool


def write(count: int, writes: int) -> dict[str, Any]:
    """Measure the encoding, writing and verifying of a state file with `count` servers."""
    listed = make_endpoints(count)
    endpoints = {server.name: ("10.1.0.1", 7000 + at) for at, server in enumerate(listed)}
    listing = DiscoveryResponse(count, True, listed, endpoints)
    learned = Balancer(settings(), 1, 0.0).learned_state()
    with tempfile.TemporaryDirectory() as folder:
        path = Path(folder) / "n0.state"
        encode_times, write_times = [], []
        for _ in range(writes):
            start = time.perf_counter()
            data = snapshot.encode_state("n0", time.time() * 1000.0, learned, {}, listing)
            encoded = time.perf_counter()
            write_atomically(path, data)
            encode_times.append(encoded - start)
            write_times.append(time.perf_counter() - encoded)
        start = time.perf_counter()
        snapshot.verify_state(path.read_bytes(), "n0", time.time() * 1000.0, 0)
        verify_ms = (time.perf_counter() - start) * 1000.0
    return {
        "servers": count,
        "bytes": len(data),
        "encode_ms_p50": round(statistics.median(encode_times) * 1000.0, 2),
        "write_ms_p50": round(statistics.median(write_times) * 1000.0, 2),
        "write_ms_max": round(max(write_times) * 1000.0, 2),
        "verify_ms": round(verify_ms, 2),
    }


def _seconds_to_first_success(port: int) -> float:
    """Send requests until one gets status 200; return the time that this took in s."""
    start = time.monotonic()
    while True:
        connection = http.client.HTTPConnection("127.0.0.1", port, timeout=1)
        try:
            name = f"b{time.monotonic_ns()}"
            connection.request("GET", f"/read/{name}", headers={"Req-Id": name})
            if connection.getresponse().status == 200:
                return time.monotonic() - start
        except OSError:
            pass
        finally:
            connection.close()
        time.sleep(0.001)


def restart(rounds: int) -> dict[str, Any]:
    """Measure the time from a node's start to its first success after a SIGKILL, warm and cold."""
    servers = StubServerPool(1)
    times_by_kind: dict[str, list[float]] = {"warm": [], "cold": []}
    try:
        with tempfile.TemporaryDirectory() as folder:
            for kind in ("warm", "cold"):
                state = Path(folder) / f"{kind}.state"
                node = Node(Path(folder), servers.known_targets(), state=str(state), state_every_ms=100)
                for _ in range(rounds):
                    if kind == "cold":
                        state.unlink(missing_ok=True)
                    start = time.monotonic()
                    assert node.process is None or node.process.poll() is not None
                    node.start()
                    listening_s = time.monotonic() - start
                    times_by_kind[kind].append(listening_s + _seconds_to_first_success(node.port))
                    load = Load(node.port)
                    time.sleep(0.3)
                    load.finish()
                    node.kill()
    finally:
        servers.close()
    return {
        kind: {
            "start_to_first_served_ms_p50": round(statistics.median(times) * 1000.0, 1),
            "max_ms": round(max(times) * 1000.0, 1),
            "rounds": len(times),
        }
        for kind, times in times_by_kind.items()
    }


def _run_load(port: int, callers: int, seconds: float, prefix: str) -> Counter[int]:
    """Send requests from `callers` concurrent clients for `seconds`; return the responses by status."""
    load = Load(port, prefix, workers=callers, timeout_s=2.0)
    time.sleep(seconds)
    return load.finish()


def refusals(rounds: int, callers: int) -> dict[str, Any]:
    """Count the responses other than 200 after a node's restart under load, warm and cold."""
    servers = StubServerPool(4, latency_ms=50.0, capacity=2)
    found: dict[str, list[float]] = {"warm": [], "cold": []}
    try:
        with tempfile.TemporaryDirectory() as folder:
            for kind in ("warm", "cold"):
                state = Path(folder) / f"{kind}.state"
                node = Node(Path(folder), servers.known_targets(), state=str(state), state_every_ms=200)
                node.start()
                _run_load(node.port, callers, 10.0, f"{kind}-")  # the node learns from this load
                for number in range(rounds):
                    node.kill()
                    if kind == "cold":
                        state.unlink(missing_ok=True)
                    node.start()
                    statuses = _run_load(node.port, callers, 10.0, f"{kind}{number}-")
                    found[kind].append(sum(statuses.values()) - statuses[200])
                    found.setdefault(f"{kind}_answers", []).append(sum(statuses.values()))
                node.kill()
    finally:
        servers.close()
    return {kind: [int(value) for value in values] for kind, values in found.items()}


def threshold() -> dict[str, Any]:
    """Compare the threshold of a busy balancer with those of new ones with its state and without."""
    listed = make_endpoints(8)
    busy = Balancer(settings(), 1, 0.0)
    busy.handle(0.0, EndpointListUpdate(EndpointListKind.FULL, listed))
    now, number = 0.0, 0
    while now < 20_000.0:  # 20 s: a request every 5 ms, each with a server latency of 40 ms
        now += 5.0
        for action in busy.handle(now, Request(f"r{number}", "read", now + 1000.0)):
            if isinstance(action, Send):
                busy.handle(
                    now + 40.0, AttemptOutcome(action.id, 0, action.server, AttemptResult.OK, 40.0, True)
                )
        number += 1
        busy.handle(now, TimerFired("period"))
    before = busy.threshold(1.0, len(busy.ready))
    found = {}
    for kind, event in (("warm", StateRestored(busy.learned_state(), 500.0)), ("cold", None)):
        balancer = Balancer(settings(), 2, 0.0)
        balancer.handle(0.0, EndpointListUpdate(EndpointListKind.FULL, listed))
        if event is not None:
            balancer.handle(0.0, event)
        balancer.handle(0.0, TimerFired("period"))
        found[kind] = round(balancer.threshold(1.0, len(balancer.ready)), 1)
    return {"before_kill": round(before, 1), "first_period": found}


def main() -> None:
    """Run the benchmark named on the command line."""
    parser = argparse.ArgumentParser(description=__doc__.split("\n")[0])
    parser.add_argument("figure", choices=["write", "restart", "threshold", "refusals"])
    parser.add_argument("--callers", type=int, default=16)
    parser.add_argument("--servers", type=int, default=10_000)
    parser.add_argument("--writes", type=int, default=50)
    parser.add_argument("--rounds", type=int, default=20)
    arguments = parser.parse_args()
    if arguments.figure == "write":
        result = write(arguments.servers, arguments.writes)
    elif arguments.figure == "restart":
        result = restart(arguments.rounds)
    elif arguments.figure == "refusals":
        result = refusals(arguments.rounds, arguments.callers)
    else:
        result = threshold()
    print(orjson.dumps({arguments.figure: result}).decode())


if __name__ == "__main__":
    main()
