"""The list service as processes: three instances, agents, faults injected between them."""

from __future__ import annotations

import signal
import socket
import threading
import time
from collections.abc import Iterator
from pathlib import Path

import orjson
import pytest

from tests.support.registry_processes import Registry, ask, until


@pytest.fixture
def registry(tmp_path: Path) -> Iterator[Registry]:
    cluster = Registry(tmp_path, ttl_ms=60_000)
    yield cluster
    cluster.stop()


def watch_revisions(agent_page: object, stop: threading.Event, seen: list[int]) -> None:
    """Follow an agent's watch as a node does, noting every revision it answers with."""
    since: int | None = None
    while not stop.is_set():
        try:
            page = agent_page(since, 300)  # type: ignore[operator]
        except OSError:
            continue
        seen.append(page["rev"])
        since = page["rev"]


def test_leader_killed_during_writes_loses_no_acknowledged_write(registry: Registry) -> None:
    agent = registry.agent()
    leader = registry.leader()
    acknowledged: list[str] = []
    seen: list[int] = []
    stop = threading.Event()
    follower = threading.Thread(target=watch_revisions, args=(agent.page, stop, seen), daemon=True)
    registry.put("s-first")
    until(lambda: "s-first" in agent.listed(), what="the agent's first list")
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
                what=f"r{index} caught up",
            )
        until(lambda: set(acknowledged) <= set(agent.listed()), what="the agent's list")
        assert registry.listed(0) == registry.listed(1) == registry.listed(2) == agent.listed()
    finally:
        stop.set()
        follower.join(5)
        agent.stop()
    assert len(seen) > 1
    assert seen == sorted(seen), "the agent's revisions went back"


def test_minority_answers_stale_and_refuses_writes_while_agent_keeps_its_list(registry: Registry) -> None:
    agent = registry.agent()
    registry.put("s-1")
    until(lambda: "s-1" in agent.listed(), what="the agent's list")
    leader = registry.leader()
    alone = (leader + 1) % 3
    stopped = [index for index in range(3) if index != alone]
    try:
        for index in stopped:  # silent, their connections open: a vanished machine
            registry.kill(index, signal.SIGSTOP)
        until(lambda: registry.status(alone)["stale"], what="the minority marking itself stale")
        status, headers, page = ask(registry.http[alone], "GET", "/discovery/hosts")
        assert (status, headers.get("registry-stale"), [row["uid"] for row in page["targets"]]) == (
            200,
            "1",
            ["s-1"],
        )
        assert (
            ask(registry.http[alone], "PUT", "/registry/targets/s-2", {"endpoint": "127.0.0.1:9"})[0] == 503
        )
        assert agent.listed() == {"s-1": "Ready"}  # at once, from its cache
    finally:
        for index in stopped:
            registry.kill(index, signal.SIGCONT)
    registry.put("s-2")  # writes accepted again
    until(lambda: "s-2" in agent.listed(), what="the agent following again")
    agent.stop()


def test_instance_restarted_with_its_data_deleted_rejoins_and_catches_up(registry: Registry) -> None:
    for number in range(10):
        registry.put(f"s-{number}")
    leader = registry.leader()
    lost = (leader + 1) % 3
    registry.kill(lost)
    registry.wipe(lost)
    registry.put("s-after")
    registry.start(lost)
    until(lambda: registry.listed(lost) == registry.listed(leader), what="the rebuilt instance's list")
    assert registry.status(lost)["rev"] == registry.status(leader)["rev"] == 11


def test_no_lease_lapses_while_all_are_down_and_a_new_leader_grants_a_full_term(tmp_path: Path) -> None:
    registry = Registry(tmp_path, ttl_ms=3_000)
    try:
        registry.put("s-kept")
        for index in range(3):
            registry.kill(index)
        time.sleep(3.2)  # longer than the lease: with no leader, nobody may bury it
        registry.start(0)
        began = time.monotonic()  # one alone leads nobody, so that any grant comes after this
        for index in (1, 2):
            registry.start(index)
        leader = registry.leader()
        until(lambda: "s-kept" not in registry.listed(leader), what="the lease lapsing")
        assert time.monotonic() - began >= 3.0, "the new leader did not grant a full term"
        logs = "".join((tmp_path / f"r{index}.log").read_text() for index in range(3))
        grants = [
            row for row in map(orjson.loads, logs.splitlines()) if row["event"] == "leader_granted_leases"
        ]
        assert 1 in [row["leases"] for row in grants], "it was gone before a leader could grant it anything"
    finally:
        registry.stop()


def test_leader_silenced_by_sigstop_is_replaced_and_agents_read_throughout(registry: Registry) -> None:
    agent = registry.agent()
    registry.put("s-1")
    until(lambda: "s-1" in agent.listed(), what="the agent's list")
    leader = registry.leader()
    registry.kill(leader, signal.SIGSTOP)  # its connections stay open and say nothing
    try:
        registry.put("s-2", avoid=leader)  # a write without the silent leader
        until(lambda: set(agent.listed()) == {"s-1", "s-2"}, what="the agent moving off the silent leader")
    finally:
        registry.kill(leader, signal.SIGCONT)
    until(lambda: registry.listed(leader) == agent.listed(), what="the old leader catching up")
    agent.stop()


def leaders(registry: Registry) -> int:
    return sum(registry.status(index)["raft"] == 2 for index in registry.live())


def test_a_leader_parted_from_the_others_is_replaced_and_catches_up_once_joined(tmp_path: Path) -> None:
    registry = Registry(tmp_path, ttl_ms=60_000, relayed=True)
    try:
        with pytest.raises(ConnectionRefusedError):  # a member listens on its own address, 127.0.0.2, only
            socket.create_connection(("127.0.0.99", registry.raft[0]), timeout=2)
        registry.put("s-before")
        old = registry.leader()
        registry.cut(old)
        registry.put("s-during", avoid=old)  # the majority taking writes
        until(lambda: registry.status(old)["stale"], what="the parted leader marking itself stale")
        assert (
            ask(registry.http[old], "PUT", "/registry/targets/s-lost", {"endpoint": "127.0.0.1:9"})[0] == 503
        )
        assert "s-during" not in registry.listed(old)
        registry.cut(old, silent=False)
        until(
            lambda: set(registry.listed(old)) == {"s-before", "s-during"}, what="the parted one catching up"
        )
        until(lambda: leaders(registry) == 1, what="one leader after the cut was mended")
    finally:
        registry.stop()
