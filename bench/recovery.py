"""Figures of the node's state file: its write cost, and a node's return warm against cold. Outside CI.

    python bench/recovery.py write [--servers 10000 --writes 50]
    python bench/recovery.py restart [--rounds 20]
    python bench/recovery.py threshold
    python bench/recovery.py refusals [--rounds 3 --callers 16]

`write` encodes and writes (fsync, rename, fsync) the file of a node that lists so many servers.
`restart` runs a node process under a steady client, kills it with SIGKILL and starts it again,
with its state file (warm) and without (cold), and times each start to its first served request.
`threshold` feeds the module a busy stretch, then a Restored of it, and compares the threshold at
the first period of a warm start with the one it had and with a cold start's.
`refusals` loads a node over 4 servers that take 2 calls of 50 ms at once each (more are answered 503),
kills it and counts the answers other than 200 in the 10 s after its start again, warm and cold.
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
    listed = make_endpoints(count)
    endpoints = {server.name: ("10.1.0.1", 7000 + at) for at, server in enumerate(listed)}
    listing = DiscoveryResponse(count, True, listed, endpoints)
    learned = Balancer(settings(), 1, 0.0).learned_state()
    with tempfile.TemporaryDirectory() as folder:
        path = Path(folder) / "n0.state"
        encodes, puts = [], []
        for _ in range(writes):
            began = time.perf_counter()
            data = snapshot.encode_state("n0", time.time() * 1000.0, learned, {}, listing)
            encoded = time.perf_counter()
            write_atomically(path, data)
            encodes.append(encoded - began)
            puts.append(time.perf_counter() - encoded)
        began = time.perf_counter()
        snapshot.verify_state(path.read_bytes(), "n0", time.time() * 1000.0, 0)
        verify_ms = (time.perf_counter() - began) * 1000.0
    return {
        "servers": count,
        "bytes": len(data),
        "encode_ms_p50": round(statistics.median(encodes) * 1000.0, 2),
        "write_ms_p50": round(statistics.median(puts) * 1000.0, 2),
        "write_ms_max": round(max(puts) * 1000.0, 2),
        "verify_ms": round(verify_ms, 2),
    }


def _first_served(port: int) -> float:
    began = time.monotonic()
    while True:
        connection = http.client.HTTPConnection("127.0.0.1", port, timeout=1)
        try:
            name = f"b{time.monotonic_ns()}"
            connection.request("GET", f"/read/{name}", headers={"Req-Id": name})
            if connection.getresponse().status == 200:
                return time.monotonic() - began
        except OSError:
            pass
        finally:
            connection.close()
        time.sleep(0.001)


def restart(rounds: int) -> dict[str, Any]:
    upstream = StubServerPool(1)
    figures: dict[str, list[float]] = {"warm": [], "cold": []}
    try:
        with tempfile.TemporaryDirectory() as folder:
            for kind in ("warm", "cold"):
                state = Path(folder) / f"{kind}.state"
                node = Node(Path(folder), upstream.known_targets(), state=str(state), state_every_ms=100)
                for _ in range(rounds):
                    if kind == "cold":
                        state.unlink(missing_ok=True)
                    began = time.monotonic()
                    assert node.process is None or node.process.poll() is not None
                    node.start()
                    listening = time.monotonic() - began
                    figures[kind].append(listening + _first_served(node.port))
                    client = Load(node.port)
                    time.sleep(0.3)
                    client.finish()
                    node.kill()
    finally:
        upstream.close()
    return {
        kind: {
            "start_to_first_served_ms_p50": round(statistics.median(times) * 1000.0, 1),
            "max_ms": round(max(times) * 1000.0, 1),
            "rounds": len(times),
        }
        for kind, times in figures.items()
    }


def _load(port: int, callers: int, seconds: float, prefix: str) -> Counter[int]:
    load = Load(port, prefix, workers=callers, timeout_s=2.0)
    time.sleep(seconds)
    return load.finish()


def refusals(rounds: int, callers: int) -> dict[str, Any]:
    backends = StubServerPool(4, latency_ms=50.0, capacity=2)
    found: dict[str, list[float]] = {"warm": [], "cold": []}
    try:
        with tempfile.TemporaryDirectory() as folder:
            for kind in ("warm", "cold"):
                state = Path(folder) / f"{kind}.state"
                node = Node(Path(folder), backends.known_targets(), state=str(state), state_every_ms=200)
                node.start()
                _load(node.port, callers, 10.0, f"{kind}-")  # learned under this load
                for number in range(rounds):
                    node.kill()
                    if kind == "cold":
                        state.unlink(missing_ok=True)
                    node.start()
                    statuses = _load(node.port, callers, 10.0, f"{kind}{number}-")
                    found[kind].append(sum(statuses.values()) - statuses[200])
                    found.setdefault(f"{kind}_answers", []).append(sum(statuses.values()))
                node.kill()
    finally:
        backends.close()
    return {kind: [int(value) for value in values] for kind, values in found.items()}


def threshold() -> dict[str, Any]:
    listed = make_endpoints(8)
    busy = Balancer(settings(), 1, 0.0)
    busy.handle(0.0, EndpointListUpdate(EndpointListKind.FULL, listed))
    now, number = 0.0, 0
    while now < 20_000.0:  # twenty seconds of a busy pool whose servers answer in 40 ms
        now += 5.0
        for act in busy.handle(now, Request(f"r{number}", "read", now + 1000.0)):
            if isinstance(act, Send):
                busy.handle(now + 40.0, AttemptOutcome(act.id, 0, act.server, AttemptResult.OK, 40.0, True))
        number += 1
        busy.handle(now, TimerFired("period"))
    before = busy.threshold(1.0, len(busy.ready))
    found = {}
    for kind, event in (("warm", StateRestored(busy.learned_state(), 500.0)), ("cold", None)):
        node = Balancer(settings(), 2, 0.0)
        node.handle(0.0, EndpointListUpdate(EndpointListKind.FULL, listed))
        if event is not None:
            node.handle(0.0, event)
        node.handle(0.0, TimerFired("period"))
        found[kind] = round(node.threshold(1.0, len(node.ready)), 1)
    return {"before_kill": round(before, 1), "first_period": found}


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__.split("\n")[0])
    parser.add_argument("figure", choices=["write", "restart", "threshold", "refusals"])
    parser.add_argument("--callers", type=int, default=16)
    parser.add_argument("--servers", type=int, default=10_000)
    parser.add_argument("--writes", type=int, default=50)
    parser.add_argument("--rounds", type=int, default=20)
    told = parser.parse_args()
    if told.figure == "write":
        result = write(told.servers, told.writes)
    elif told.figure == "restart":
        result = restart(told.rounds)
    elif told.figure == "refusals":
        result = refusals(told.rounds, told.callers)
    else:
        result = threshold()
    print(orjson.dumps({told.figure: result}).decode())


if __name__ == "__main__":
    main()
