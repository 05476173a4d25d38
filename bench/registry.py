"""Benchmarks of the list service on loopback: propagation, leader loss, a large list.

CI does not run them.

    python bench/registry.py propagation [--changes 1000 --agents 10]
    python bench/registry.py failover [--rounds 5]
    python bench/registry.py large [--servers 10000 --agents 100]
    python bench/registry.py outage [--seconds 30]
    python bench/registry.py node [--servers 10000]

`propagation`: time from a write at the leader until each agent's watchers have the change.
`failover`: time from the kill of the leader until writes succeed again.
`large`: registration, reads and propagation of a list of `--servers` servers.
`outage`: reads at an agent while all instances are down for `--seconds`, and the time to recover.
`node`: time and memory that a node takes for a complete list of `--servers` servers.

Each benchmark starts three instances and the agents as processes (tests/support/registry_processes.py) in a
new folder and prints one JSON line. To find out when a node would receive a change, this process watches each
agent as a node does: as soon as one watch call has its response, it sends the next.
"""

from __future__ import annotations

import argparse
import asyncio
import os
import statistics
import sys
import tempfile
import time
from pathlib import Path
from typing import Any

import orjson

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from bench.figures import quantile, rss_mb
from loadbalancer.node.http.service_client import send_request
from tests.support.node_processes import Node
from tests.support.registry_processes import Registry, until


async def follow(port: int, seen: dict[str, float], stop: asyncio.Event) -> None:
    """Watch an agent as a node does; `seen` gets the time at which each uid is first received."""
    since: int | None = None
    while not stop.is_set():
        target = "/discovery/hosts" if since is None else f"/discovery/hosts?since={since}&timeout_ms=1000"
        try:
            response = await send_request(("127.0.0.1", port), "GET", target, timeout_s=3)
        except (OSError, TimeoutError):
            await asyncio.sleep(0.01)
            continue
        now = time.monotonic()
        page = orjson.loads(response.body)
        since = page["rev"]
        for row in page["targets"]:
            seen.setdefault(row["uid"], now)


async def read_repeatedly(port: int, counts: dict[str, int], stop: asyncio.Event) -> None:
    """Read an agent's complete list again and again, 10 ms apart, and count the failed reads."""
    while not stop.is_set():
        counts["reads"] += 1
        try:
            response = await send_request(("127.0.0.1", port), "GET", "/discovery/hosts", timeout_s=1)
            counts["failures"] += response.status != 200
        except (OSError, TimeoutError):
            counts["failures"] += 1
        await asyncio.sleep(0.01)


async def register(port: int, prefix: str, count: int) -> None:
    """Register `count` servers with up to 32 writes in flight."""
    limit = asyncio.Semaphore(32)

    async def register_one(number: int) -> None:
        async with limit:
            assert await put(port, f"{prefix}-{number}", f"127.0.0.1:{1024 + number % 60000}") == 200

    await asyncio.gather(*(register_one(number) for number in range(count)))


async def put(port: int, uid: str, endpoint: str) -> int:
    """Register one server at an instance and return the response's status."""
    body = orjson.dumps({"uid": uid, "endpoint": endpoint})
    response = await send_request(("127.0.0.1", port), "PUT", f"/registry/targets/{uid}", body, timeout_s=5)
    return response.status


async def propagation(folder: Path, changes: int, agents: int) -> dict[str, Any]:
    """Measure the time from each of `changes` writes until it is received from every agent."""
    registry = Registry(folder, ttl_ms=600_000)
    started = [registry.agent() for _ in range(agents)]
    try:
        for agent in started:
            until(lambda agent=agent: agent.page() is not None, condition="an agent with a list")
        registry.put("s-warm")
        for agent in started:
            until(lambda agent=agent: "s-warm" in agent.listed(), condition="an agent with the first server")
        views: list[dict[str, float]] = [{} for _ in started]
        stop = asyncio.Event()
        watchers = [asyncio.create_task(follow(a.port, v, stop)) for a, v in zip(started, views, strict=True)]
        await asyncio.sleep(0.3)
        sent: dict[str, float] = {}
        leader = registry.http[registry.leader()]
        for number in range(changes):
            uid = f"p-{number}"
            sent[uid] = time.monotonic()
            assert await put(leader, uid, f"127.0.0.1:{10000 + number % 50000}") == 200
        deadline = time.monotonic() + 10
        while time.monotonic() < deadline and not all(
            len(set(sent) & view.keys()) == changes for view in views
        ):
            await asyncio.sleep(0.05)
        stop.set()
        for watcher in watchers:
            watcher.cancel()
        delays = [
            (view[uid] - sent_at) * 1000 for view in views for uid, sent_at in sent.items() if uid in view
        ]
        missing = changes * agents - len(delays)
        return {
            "bench": "propagation",
            "changes": changes,
            "agents": agents,
            "samples": len(delays),
            "missing": missing,
            "p50_ms": round(quantile(delays, 0.5), 2),
            "p99_ms": round(quantile(delays, 0.99), 2),
            "max_ms": round(max(delays), 2),
        }
    finally:
        for agent in started:
            agent.stop()
        registry.stop()


async def failover(folder: Path, rounds: int) -> dict[str, Any]:
    """Kill the leader `rounds` times; measure how long writes fail, and count an agent's failed reads."""
    registry = Registry(folder, ttl_ms=600_000)
    agent = registry.agent()
    gaps = []
    try:
        registry.put("s-0")
        until(lambda: "s-0" in agent.listed(), condition="the agent with the first server")
        counts = {"reads": 0, "failures": 0}
        stop = asyncio.Event()
        reader = asyncio.create_task(read_repeatedly(agent.port, counts, stop))
        for number in range(rounds):
            leader = registry.leader()
            killed = time.monotonic()
            registry.kill(leader)
            while True:
                statuses = []
                for index in registry.live():
                    try:
                        statuses.append(await put(registry.http[index], f"f-{number}", "127.0.0.1:9"))
                    except (OSError, TimeoutError):
                        statuses.append(0)
                if 200 in statuses:
                    break
                await asyncio.sleep(0.02)
            gaps.append((time.monotonic() - killed) * 1000)
            registry.start(leader)
            until(
                lambda leader=leader: (
                    registry.status(leader)["rev"] == registry.status(registry.leader())["rev"]
                )
            )
        stop.set()
        await reader
        return {
            "bench": "failover",
            "rounds": rounds,
            "writes_again_ms": [round(gap) for gap in gaps],
            "median_ms": round(statistics.median(gaps)),
            "agent_reads": counts["reads"],
            "agent_read_failures": counts["failures"],
        }
    finally:
        agent.stop()
        registry.stop()


async def large(folder: Path, servers: int, agents: int) -> dict[str, Any]:
    """Register a large list; measure reads of it, the propagation of one more server, and memory."""
    registry = Registry(folder, ttl_ms=600_000)
    started = []
    try:
        leader = registry.http[registry.leader()]
        start = time.monotonic()
        await register(leader, "l", servers)
        registered_s = time.monotonic() - start
        timings = []
        for _ in range(20):
            start = time.monotonic()
            response = await send_request(("127.0.0.1", leader), "GET", "/discovery/hosts", timeout_s=10)
            timings.append((time.monotonic() - start) * 1000)
        size = len(response.body)
        started = [registry.agent() for _ in range(agents)]
        for agent in started:
            until(
                lambda agent=agent: len(agent.page()["targets"]) == servers,
                within_s=60,
                condition="an agent with the complete list",
            )
        views: list[dict[str, float]] = [{} for _ in started]
        stop = asyncio.Event()
        watchers = [asyncio.create_task(follow(a.port, v, stop)) for a, v in zip(started, views, strict=True)]
        while not all(len(view) >= servers for view in views):
            await asyncio.sleep(0.05)
        start = time.monotonic()
        assert await put(leader, "l-new", "127.0.0.1:9") == 200
        while not all("l-new" in view for view in views):
            await asyncio.sleep(0.001)
        fan_out_s = max(view["l-new"] for view in views) - start
        stop.set()
        for watcher in watchers:
            watcher.cancel()
        instances = [process.pid for process in registry.processes if process is not None]
        return {
            "bench": "large",
            "servers": servers,
            "agents": agents,
            "register_per_s": round(servers / registered_s),
            "full_list_bytes": size,
            "full_list_p50_ms": round(quantile(timings, 0.5), 1),
            "full_list_max_ms": round(max(timings), 1),
            "fan_out_all_agents_ms": round(fan_out_s * 1000, 1),
            "instance_rss_mb": [round(rss_mb(pid)) for pid in instances],
            "agent_rss_mb_median": round(statistics.median(rss_mb(a.process.pid) for a in started)),
        }
    finally:
        for agent in started:
            agent.stop()
        registry.stop()


async def outage(folder: Path, seconds: float) -> dict[str, Any]:
    """Kill all three instances for `seconds`; count the agent's failed reads and measure the recovery."""
    registry = Registry(folder, ttl_ms=10_000)
    agent = registry.agent()
    try:
        for number in range(100):
            registry.put(f"o-{number}")
        until(lambda: len(agent.listed()) == 100, condition="the agent with all servers")
        counts = {"reads": 0, "failures": 0}
        stop = asyncio.Event()
        reader = asyncio.create_task(read_repeatedly(agent.port, counts, stop))
        for index in range(3):
            registry.kill(index)
        await asyncio.sleep(seconds)
        listed_during = len(agent.listed())
        restarted = time.monotonic()
        for index in range(3):
            registry.start(index)
        registry.leader(within_s=30)
        leader_ms = (time.monotonic() - restarted) * 1000
        while await put(registry.http[registry.leader()], "o-after", "127.0.0.1:9") != 200:
            await asyncio.sleep(0.02)
        writes_ms = (time.monotonic() - restarted) * 1000
        until(lambda: "o-after" in agent.listed(), condition="the agent with a new server again")
        agent_ms = (time.monotonic() - restarted) * 1000
        stop.set()
        await reader
        return {
            "bench": "outage",
            "down_s": seconds,
            "agent_reads_while_down": counts["reads"],
            "agent_read_failures": counts["failures"],
            "agent_listed_while_down": listed_during,
            "listed_after": len(registry.listed(registry.leader())),
            "leader_after_start_ms": round(leader_ms),
            "writes_after_start_ms": round(writes_ms),
            "agent_follows_after_start_ms": round(agent_ms),
        }
    finally:
        agent.stop()
        registry.stop()


async def one_node(folder: Path, servers: int) -> dict[str, Any]:
    """Measure the time and memory that a node takes for a complete list from its agent, then one change."""
    registry = Registry(folder, ttl_ms=600_000)
    agent = registry.agent()
    node = Node(folder, [], agent.port, settings={"registryMode": "push"})
    try:
        leader = registry.http[registry.leader()]
        await register(leader, "n", servers)
        until(
            lambda: len(agent.page()["targets"]) == servers,
            within_s=60,
            condition="an agent with the complete list",
        )
        start = time.monotonic()
        node.launch()
        until(lambda: node.endpoint_count() == servers, within_s=60, condition="the node's complete list")
        complete_ms = (time.monotonic() - start) * 1000
        change_start = time.monotonic()
        assert await put(leader, "n-new", "127.0.0.1:9") == 200
        until(lambda: node.endpoint_count() == servers + 1, within_s=30, condition="the change at the node")
        return {
            "bench": "node",
            "servers": servers,
            "start_to_whole_list_ms": round(complete_ms),
            "one_change_ms": round((time.monotonic() - change_start) * 1000, 1),
            "node_rss_mb": round(rss_mb(node.process.pid)),
        }
    finally:
        node.stop()
        agent.stop()
        registry.stop()


def main() -> None:
    """Run the benchmark named on the command line and print its result."""
    parser = argparse.ArgumentParser(description=__doc__.split("\n")[0])
    parser.add_argument("bench", choices=["propagation", "failover", "large", "outage", "node"])
    parser.add_argument("--seconds", type=float, default=30.0)
    parser.add_argument("--changes", type=int, default=1000)
    parser.add_argument("--agents", type=int, default=None)
    parser.add_argument("--rounds", type=int, default=5)
    parser.add_argument("--servers", type=int, default=10_000)
    arguments = parser.parse_args()
    with tempfile.TemporaryDirectory(prefix="registry-bench-") as folder:
        if arguments.bench == "propagation":
            result = asyncio.run(propagation(Path(folder), arguments.changes, arguments.agents or 10))
        elif arguments.bench == "failover":
            result = asyncio.run(failover(Path(folder), arguments.rounds))
        elif arguments.bench == "node":
            result = asyncio.run(one_node(Path(folder), arguments.servers))
        elif arguments.bench == "outage":
            result = asyncio.run(outage(Path(folder), arguments.seconds))
        else:
            result = asyncio.run(large(Path(folder), arguments.servers, arguments.agents or 100))
    result["cores"] = os.cpu_count()
    print(orjson.dumps(result).decode())


if __name__ == "__main__":
    main()
