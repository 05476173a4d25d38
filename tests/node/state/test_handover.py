"""Handover of learned state to a new process, and how both processes count each other's requests."""

from __future__ import annotations

import asyncio
import os

import orjson
import pytest

from loadbalancer.balancing.cursor_table import SLOT_RATIOS
from loadbalancer.balancing.events import LearnedState, SiblingProcessLoad
from loadbalancer.endpoints import EndpointListKind
from loadbalancer.node.node import Node
from loadbalancer.node.sibling_process import SiblingProcess
from loadbalancer.node.state.handover import (
    FILE_PREFIX,
    FOLDER_NAME,
    FRESHNESS_MS,
    RETENTION_MS,
    HandoverFiles,
)
from tests.node.test_upgrade import listening
from tests.support.builders import BalancerEnvironment, sent
from tests.support.loopback import BlockedServer, Client, loopback_node, request, wait_until

HOUR_MS = 3_600_000.0


class ManualClock:
    """A clock that the test sets."""

    def __init__(self) -> None:
        self.now_ms = 0.0

    def unix_ms(self) -> float:
        return self.now_ms


class RecordingDriver:
    """Records the events that it gets; its balancer has nothing in flight."""

    def __init__(self) -> None:
        self.events: list[object] = []
        self.balancer = self

    def handle_event(self, event: object) -> None:
        self.events.append(event)

    def learned_state(self) -> LearnedState:
        return learned()

    def in_flight(self) -> dict[str, float]:
        return {}


def learned(**changes: object) -> LearnedState:
    fields = {
        "baseline_ratio": 0.2,
        "latency_ratio": 0.25,
        "cursor": 5,
        "completion_rate": 0.002,
        "peak_completion_rate": 0.003,
        "send_rate": 0.01,
        "mean_latency_objective_ms": 1000.0,
        "class_latency_ms": {"read": 100.0},
        "endpoint_latency_ratios": {"s0": 2.0},
    }
    return LearnedState(**fields | changes)  # type: ignore[arg-type]


# ------------------------------------------------------------------------ files


def test_process_reads_files_of_others_and_not_its_own(tmp_path):
    first, second, third = (HandoverFiles(tmp_path / "x", number) for number in (1, 2, 3))
    assert third.read_siblings(0.0) == (None, {})  # no other process has written a file
    first.write(1000.0, learned(cursor=1), {"s0": 2.0, "s1": 1.0})
    second.write(1100.0, learned(cursor=2), {"s0": 3.0})
    third.write(1200.0, learned(cursor=3), {"s0": 9.0})
    assert third.read_siblings(1200.0) == (learned(cursor=2), {"s0": 5.0, "s1": 1.0})
    second.close()
    assert third.read_siblings(1200.0) == (learned(cursor=1), {"s0": 2.0, "s1": 1.0})


def test_file_of_ended_process_is_ignored_and_later_removed(tmp_path):
    first, second = HandoverFiles(tmp_path, 1), HandoverFiles(tmp_path, 2)
    first.write(0.0, learned(), {"s0": 2.0})
    assert second.read_siblings(FRESHNESS_MS)[1] == {"s0": 2.0}
    assert second.read_siblings(FRESHNESS_MS + 1.0) == (None, {})
    assert list(tmp_path.iterdir())
    second.read_siblings(RETENTION_MS + 1.0)
    assert not list(tmp_path.iterdir())


@pytest.mark.parametrize("step_ms", [-HOUR_MS, HOUR_MS])
def test_file_counts_while_it_changes_if_the_wall_clock_stepped_between_the_starts(tmp_path, step_ms):
    """The clocks of both processes differ by the step, as each reads the wall clock once."""
    first, second = HandoverFiles(tmp_path, 1), HandoverFiles(tmp_path, 2)
    first.write(0.0, learned(), {"s0": 1.0})
    assert second.read_siblings(step_ms) == (None, {})  # it may have been left behind by an ended process
    first.write(100.0, learned(), {"s0": 2.0})
    assert second.read_siblings(step_ms + 100.0) == (learned(), {"s0": 2.0})
    assert second.read_siblings(step_ms + 100.0 + FRESHNESS_MS) == (learned(), {"s0": 2.0})
    assert second.read_siblings(step_ms + 101.0 + FRESHNESS_MS) == (None, {})
    second.write(step_ms, learned(cursor=1), {"s0": 3.0})
    assert first.read_siblings(200.0) == (None, {})
    assert (tmp_path / f"{FILE_PREFIX}2").exists()
    second.write(step_ms + 100.0, learned(cursor=1), {"s0": 4.0})
    assert first.read_siblings(300.0) == (learned(cursor=1), {"s0": 4.0})


@pytest.mark.parametrize("step_ms", [0.0, -HOUR_MS, HOUR_MS])
@pytest.mark.parametrize("old_ends", [False, True])
def test_new_process_takes_over_learned_state_once_after_a_clock_step(tmp_path, step_ms, old_ends):
    first, second = HandoverFiles(tmp_path, 1), HandoverFiles(tmp_path, 2)
    driver, clock = RecordingDriver(), ManualClock()
    new = SiblingProcess(second, clock, driver)  # type: ignore[arg-type]
    first.write(0.0, learned(cursor=1), {})
    clock.now_ms = step_ms
    new.exchange(at_start=True)
    for tick in range(1, 20):
        clock.now_ms += 100.0
        if not old_ends:
            first.write(tick * 100.0, learned(cursor=1), {})
        new.exchange()
    known_at_start = step_ms == 0.0
    assert driver.events == ([learned(cursor=1)] if known_at_start or not old_ends else [])


def test_old_process_takes_no_learned_state_of_a_new_one(tmp_path):
    first, second = HandoverFiles(tmp_path, 1), HandoverFiles(tmp_path, 2)
    driver, clock = RecordingDriver(), ManualClock()
    old = SiblingProcess(first, clock, driver)  # type: ignore[arg-type]
    old.exchange(at_start=True)
    for tick in range(20):
        clock.now_ms += 100.0
        second.write(tick * 100.0, learned(cursor=2), {})
        old.exchange()
    assert driver.events == []


@pytest.mark.parametrize(
    "change",
    [
        lambda fields: fields.clear(),
        lambda fields: fields.update(at_ms="now"),
        lambda fields: fields.update(held=[1]),
        lambda fields: fields.update(held={"s0": None}),
        lambda fields: fields["learned"].pop("peak"),
        lambda fields: fields["learned"].update(class_ms={"read": "slow"}),
    ],
)
def test_malformed_file_is_ignored_and_logged_once(tmp_path, caplog, change):
    first, second = HandoverFiles(tmp_path, 1), HandoverFiles(tmp_path, 2)
    first.write(0.0, learned(), {"s0": 2.0})
    path = tmp_path / f"{FILE_PREFIX}1"
    fields = orjson.loads(path.read_bytes())
    change(fields)
    path.write_bytes(orjson.dumps(fields))
    for _ in range(3):
        assert second.read_siblings(0.0) == (None, {})
    path.write_bytes(b"\0")
    assert second.read_siblings(0.0) == (None, {})
    assert len(caplog.records) == 1


def test_unusable_folder_is_logged_once(tmp_path, caplog):
    (tmp_path / "file").write_text("")
    first = HandoverFiles(tmp_path / "file", 1)
    for _ in range(3):
        first.write(0.0, learned(), {})
        assert first.read_siblings(0.0) == (None, {})
    first.close()
    assert len(caplog.records) == 1


# ------------------------------------------------------------------ the balancer


def under_load(env: BalancerEnvironment) -> BalancerEnvironment:
    """Let the balancer serve requests under load for a while, so that it learns."""
    for _ in range(60):
        for _ in range(3):
            env.complete_request("read", 100.0)
        env.end_period()
    env.balancer.state.cursor = 4
    return env


def test_new_process_starts_with_threshold_of_old_process():
    old, new = under_load(BalancerEnvironment(4)), BalancerEnvironment(4)
    assert new.balancer.threshold(1.0, 4) > old.balancer.threshold(1.0, 4)
    new.handle(old.balancer.learned_state())
    assert new.balancer.threshold(1.0, 4) == pytest.approx(old.balancer.threshold(1.0, 4))
    assert new.balancer.state.class_latency_ms == old.balancer.state.class_latency_ms
    assert {name: endpoint.latency_ratio for name, endpoint in new.balancer.endpoints.items()} == {
        name: endpoint.latency_ratio for name, endpoint in old.balancer.endpoints.items()
    }
    base = new.balancer.state.baseline_ratio
    new.complete_request("read", 900.0)
    new.end_period()
    assert new.balancer.state.baseline_ratio == pytest.approx(
        base, rel=0.1
    )  # one request does not replace the baseline


@pytest.mark.parametrize(
    "change",
    [
        {"baseline_ratio": None},
        {"baseline_ratio": 0.0},
        {"peak_completion_rate": 0.0},
        {"mean_latency_objective_ms": 0.0},
    ],
)
def test_incomplete_learned_state_is_not_applied(change):
    env = BalancerEnvironment(4)
    before = env.balancer.threshold(1.0, 4)
    env.handle(learned(**change))
    assert (env.balancer.threshold(1.0, 4), env.balancer.cursor) == (before, 0)


def test_cursor_of_other_process_is_limited_to_table():
    env = BalancerEnvironment(4)
    env.handle(learned(cursor=999, class_latency_ms={"unknown": 5.0}))
    assert env.balancer.cursor == len(SLOT_RATIOS) - 1
    assert env.balancer.state.class_latency_ms == {}


def test_requests_of_sibling_process_count_in_admission_and_ranking():
    env = BalancerEnvironment(4)
    capacity = int(env.balancer.threshold(1.0, 4))
    env.handle(SiblingProcessLoad({"s0": capacity / 2, "s1": capacity / 2, "unknown": 9.0}))
    rejected = [not sent(env.send_request()[1]) for _ in range(10)]
    assert all(rejected[2:])
    env.handle(SiblingProcessLoad({"s0": 3.0}))
    assert sent(env.send_request()[1])[0].server != "s0"
    env.handle(SiblingProcessLoad({}))
    assert all(endpoint.sibling_in_flight == 0.0 for endpoint in env.balancer.endpoints.values())


# ---------------------------------------------------------------------- the node


def test_processes_in_upgrade_count_each_others_requests_until_one_ends(tmp_path):
    async def main():
        raw, server = listening(), BlockedServer()
        shared = {"accept_fd": str(os.dup(raw.fileno())), "tmpdir": str(tmp_path)}
        async with loopback_node(server, **shared) as old:
            client = await Client.connect(old)
            client.writer.write(request(name="q1"))
            await wait_until(lambda: server.requests)
            new = Node(old.config)
            assert new.sibling_process is not None
            # Both nodes run in the test's process, so the new one needs another process number.
            new.sibling_process.handover = HandoverFiles(tmp_path / FOLDER_NAME, os.getpid() + 1)
            old.sibling_process.exchange()
            new.endpoint_list.apply_update(EndpointListKind.CACHED, new.config.initial_list)
            new.sibling_process.exchange(at_start=True)
            assert new.driver.balancer.endpoints["s0"].sibling_in_flight == 1.0
            assert old.driver.balancer.endpoints["s0"].sibling_in_flight == 0.0
            server.release.set()
            await client.read_response()
            old.sibling_process.exchange()
            new.sibling_process.exchange()
            assert new.driver.balancer.endpoints["s0"].sibling_in_flight == 0.0
            new.close()
            assert os.listdir(tmp_path / FOLDER_NAME) == [f"{FILE_PREFIX}{os.getpid()}"]
        assert os.listdir(tmp_path / FOLDER_NAME) == []
        raw.close()

    asyncio.run(main())


def test_node_with_own_listening_socket_writes_no_handover_file(tmp_path):
    async def main():
        async with loopback_node(BlockedServer(), tmpdir=str(tmp_path)) as node:
            node.periodic_tasks.tick(node.loop.time())
            assert node.sibling_process is None

    asyncio.run(main())
    assert not os.listdir(tmp_path)
