"""The list service as processes: three instances and agents, with injected faults."""

from __future__ import annotations

import signal
import socket
import threading
import time
from collections.abc import Iterator
from pathlib import Path

import orjson
import pytest

from tests.support.registry_processes import Registry, http_request, until


@pytest.fixture
def registry(tmp_path: Path) -> Iterator[Registry]:
    cluster = Registry(tmp_path, ttl_ms=60_000)
    yield cluster
    cluster.stop()


def watch_revisions(agent_page: object, stop: threading.Event, revisions: list[int]) -> None:
    """Watch an agent as a node does, and record each revision that it sends."""
    since: int | None = None
    while not stop.is_set():
        try:
            page = agent_page(since, 300)  # type: ignore[operator]
        except OSError:
            continue
        revisions.append(page["rev"])
        since = page["rev"]


def test_leader_killed_during_writes_loses_no_acknowledged_write(registry: Registry) -> None:
    agent = registry.agent()
    leader = registry.leader()
    acknowledged: list[str] = []
    revisions: list[int] = []
    stop = threading.Event()
    follower = threading.Thread(target=watch_revisions, args=(agent.page, stop, revisions), daemon=True)
    registry.put("s-first")
    until(lambda: "s-first" in agent.listed(), condition="the agent's first list")
    follower.start()
    try:
        for number in range(60):
            if number == 20:
                registry.kill(leader)
            uid = f"s-{number}"
            registry.put(uid, 7000 + number, avoid=leader)
            acknowledged.append(uid)
        registry.start(leader)
        for index in range(3):
            until(
                lambda index=index: set(acknowledged) <= set(registry.listed(index)),
                condition=f"r{index} caught up",
            )
        until(lambda: set(acknowledged) <= set(agent.listed()), condition="the agent's list")
        assert registry.listed(0) == registry.listed(1) == registry.listed(2) == agent.listed()
    finally:
        stop.set()
        follower.join(5)
        agent.stop()
    assert len(revisions) > 1
    assert revisions == sorted(revisions), "the agent's revisions went back"


def test_minority_is_stale_and_rejects_writes_while_agent_serves_its_cache(registry: Registry) -> None:
    agent = registry.agent()
    registry.put("s-1")
    until(lambda: "s-1" in agent.listed(), condition="the agent's list")
    leader = registry.leader()
    minority = (leader + 1) % 3
    stopped = [index for index in range(3) if index != minority]
    try:
        for index in stopped:  # paused with open connections, as a machine that vanished
            registry.kill(index, signal.SIGSTOP)
        until(lambda: registry.status(minority)["stale"], condition="the minority marking itself stale")
        status, headers, page = http_request(registry.http[minority], "GET", "/discovery/hosts")
        assert (status, headers.get("registry-stale"), [target["uid"] for target in page["targets"]]) == (
            200,
            "1",
            ["s-1"],
        )
        assert (
            http_request(
                registry.http[minority], "PUT", "/registry/targets/s-2", {"endpoint": "127.0.0.1:9"}
            )[0]
            == 503
        )
        assert agent.listed() == {"s-1": "Ready"}  # from its cache, without waiting
    finally:
        for index in stopped:
            registry.kill(index, signal.SIGCONT)
    registry.put("s-2")  # writes are accepted again
    until(lambda: "s-2" in agent.listed(), condition="the agent following again")
    agent.stop()


def test_instance_restarted_without_its_data_catches_up(registry: Registry) -> None:
    for number in range(10):
        registry.put(f"s-{number}")
    leader = registry.leader()
    lost = (leader + 1) % 3
    registry.kill(lost)
    registry.delete_data(lost)
    registry.put("s-after")
    registry.start(lost)
    until(lambda: registry.listed(lost) == registry.listed(leader), condition="the rebuilt instance's list")
    assert registry.status(lost)["rev"] == registry.status(leader)["rev"] == 11


def test_new_leader_grants_full_lease_after_all_instances_were_down(tmp_path: Path) -> None:
    registry = Registry(tmp_path, ttl_ms=3_000)
    try:
        registry.put("s-kept")
        for index in range(3):
            registry.kill(index)
        time.sleep(3.2)  # longer than the lease, which must not expire without a leader
        registry.start(0)
        began = time.monotonic()  # one instance can't lead, so any grant comes later
        for index in (1, 2):
            registry.start(index)
        leader = registry.leader()
        until(lambda: "s-kept" not in registry.listed(leader), condition="the lease expiring")
        assert time.monotonic() - began >= 3.0, "the new leader did not grant a full term"
        logs = "".join((tmp_path / f"r{index}.log").read_text() for index in range(3))
        grants = [
            event
            for event in map(orjson.loads, logs.splitlines())
            if event["event"] == "leader_granted_leases"
        ]
        assert 1 in [grant["leases"] for grant in grants], (
            "the target was removed before a leader renewed its lease"
        )
    finally:
        registry.stop()


def test_paused_leader_is_replaced_and_agent_switches_instance(registry: Registry) -> None:
    agent = registry.agent()
    registry.put("s-1")
    until(lambda: "s-1" in agent.listed(), condition="the agent's list")
    leader = registry.leader()
    registry.kill(leader, signal.SIGSTOP)  # its connections stay open, but silent
    try:
        registry.put("s-2", avoid=leader)  # a write without the silent leader
        until(
            lambda: set(agent.listed()) == {"s-1", "s-2"},
            condition="the agent switching from the silent leader",
        )
    finally:
        registry.kill(leader, signal.SIGCONT)
    until(lambda: registry.listed(leader) == agent.listed(), condition="the old leader catching up")
    agent.stop()


def leader_count(registry: Registry) -> int:
    return sum(registry.status(index)["raft"] == 2 for index in registry.live())


def test_partitioned_leader_is_replaced_and_catches_up_after_heal(tmp_path: Path) -> None:
    registry = Registry(tmp_path, ttl_ms=60_000, relayed=True)
    try:
        with pytest.raises(ConnectionRefusedError):  # an instance listens only on its address, 127.0.0.2
            socket.create_connection(("127.0.0.99", registry.raft[0]), timeout=2)
        registry.put("s-before")
        old = registry.leader()
        registry.partition(old)
        registry.put("s-during", avoid=old)  # the majority accepts writes
        until(lambda: registry.status(old)["stale"], condition="the partitioned leader marking itself stale")
        assert (
            http_request(registry.http[old], "PUT", "/registry/targets/s-lost", {"endpoint": "127.0.0.1:9"})[
                0
            ]
            == 503
        )
        assert "s-during" not in registry.listed(old)
        registry.partition(old, silent=False)
        until(
            lambda: set(registry.listed(old)) == {"s-before", "s-during"},
            condition="the healed instance catching up",
        )
        until(lambda: leader_count(registry) == 1, condition="one leader after the heal")
    finally:
        registry.stop()
