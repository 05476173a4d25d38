"""What an old process hands over to a new one, and how both count each other's calls."""

from __future__ import annotations

import asyncio
import os

import orjson
import pytest

from loadbalancer.balancing.cursor_table import SLOT_RATIOS
from loadbalancer.balancing.events import LearnedState, SiblingProcessLoad
from loadbalancer.endpoints import EndpointListKind
from loadbalancer.node.node import Node
from loadbalancer.node.state.handover import (
    FILE_PREFIX,
    FOLDER_NAME,
    FRESHNESS_MS,
    RETENTION_MS,
    HandoverFiles,
)
from tests.node.test_upgrade import listening
from tests.support.builders import BalancerEnvironment, sent
from tests.support.loopback import Caller, Held, request, running, until


def learned(**changes: object) -> LearnedState:
    given = {
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
    return LearnedState(**given | changes)  # type: ignore[arg-type]


# ------------------------------------------------------------------------ files


def test_a_process_reads_what_the_others_wrote_and_not_its_own(tmp_path):
    one, two, three = (HandoverFiles(tmp_path / "x", number) for number in (1, 2, 3))
    assert three.read_siblings(0.0) == (None, {})  # the first process
    one.write(1000.0, learned(cursor=1), {"s0": 2.0, "s1": 1.0})
    two.write(1100.0, learned(cursor=2), {"s0": 3.0})
    three.write(1200.0, learned(cursor=3), {"s0": 9.0})
    assert three.read_siblings(1200.0) == (learned(cursor=2), {"s0": 5.0, "s1": 1.0})
    two.close()
    assert three.read_siblings(1200.0) == (learned(cursor=1), {"s0": 2.0, "s1": 1.0})


def test_a_process_that_has_stopped_writing_says_nothing_and_its_file_goes(tmp_path):
    one, two = HandoverFiles(tmp_path, 1), HandoverFiles(tmp_path, 2)
    one.write(0.0, learned(), {"s0": 2.0})
    assert two.read_siblings(FRESHNESS_MS)[1] == {"s0": 2.0}
    assert two.read_siblings(FRESHNESS_MS + 1.0) == (None, {})
    assert list(tmp_path.iterdir())
    two.read_siblings(RETENTION_MS + 1.0)
    assert not list(tmp_path.iterdir())


@pytest.mark.parametrize(
    "change",
    [
        lambda row: row.clear(),
        lambda row: row.update(at_ms="now"),
        lambda row: row.update(held=[1]),
        lambda row: row.update(held={"s0": None}),
        lambda row: row["learned"].pop("peak"),
        lambda row: row["learned"].update(class_ms={"read": "slow"}),
    ],
)
def test_a_malformed_file_is_passed_over_and_logged_once(tmp_path, caplog, change):
    one, two = HandoverFiles(tmp_path, 1), HandoverFiles(tmp_path, 2)
    one.write(0.0, learned(), {"s0": 2.0})
    path = tmp_path / f"{FILE_PREFIX}1"
    row = orjson.loads(path.read_bytes())
    change(row)
    path.write_bytes(orjson.dumps(row))
    for _ in range(3):
        assert two.read_siblings(0.0) == (None, {})
    path.write_bytes(b"\0")
    assert two.read_siblings(0.0) == (None, {})
    assert len(caplog.records) == 1


def test_a_folder_that_takes_no_file_is_logged_once(tmp_path, caplog):
    (tmp_path / "file").write_text("")
    one = HandoverFiles(tmp_path / "file", 1)
    for _ in range(3):
        one.write(0.0, learned(), {})
        assert one.read_siblings(0.0) == (None, {})
    one.close()
    assert len(caplog.records) == 1


# -------------------------------------------------------------------- the module


def taught(bed: BalancerEnvironment) -> BalancerEnvironment:
    """A balancer that has served for a while, and seen load."""
    for _ in range(60):
        for _ in range(3):
            bed.complete_request("read", 100.0)
        bed.end_period()
    bed.balancer.state.cursor = 4
    return bed


def test_a_new_process_starts_at_the_threshold_of_the_old_one():
    old, new = taught(BalancerEnvironment(4)), BalancerEnvironment(4)
    assert new.balancer.threshold(1.0, 4) > old.balancer.threshold(1.0, 4)
    new.handle(old.balancer.learned_state())
    assert new.balancer.threshold(1.0, 4) == pytest.approx(old.balancer.threshold(1.0, 4))
    assert new.balancer.state.class_latency_ms == old.balancer.state.class_latency_ms
    assert {name: peer.latency_ratio for name, peer in new.balancer.endpoints.items()} == {
        name: peer.latency_ratio for name, peer in old.balancer.endpoints.items()
    }
    base = new.balancer.state.baseline_ratio
    new.complete_request("read", 900.0)
    new.end_period()
    assert new.balancer.state.baseline_ratio == pytest.approx(base, rel=0.1)  # not learned anew from one call


@pytest.mark.parametrize(
    "change",
    [
        {"baseline_ratio": None},
        {"baseline_ratio": 0.0},
        {"peak_completion_rate": 0.0},
        {"mean_latency_objective_ms": 0.0},
    ],
)
def test_an_old_process_that_has_only_begun_to_learn_teaches_nothing(change):
    bed = BalancerEnvironment(4)
    before = bed.balancer.threshold(1.0, 4)
    bed.handle(learned(**change))
    assert (bed.balancer.threshold(1.0, 4), bed.balancer.cursor) == (before, 0)


def test_a_cursor_from_elsewhere_stays_within_the_table():
    bed = BalancerEnvironment(4)
    bed.handle(learned(cursor=999, class_latency_ms={"gone": 5.0}))
    assert bed.balancer.cursor == len(SLOT_RATIOS) - 1
    assert bed.balancer.state.class_latency_ms == {}


def test_calls_of_the_process_beside_count_in_the_queue_the_share_and_the_rank():
    bed = BalancerEnvironment(4)
    room = int(bed.balancer.threshold(1.0, 4))
    bed.handle(SiblingProcessLoad({"s0": room / 2, "s1": room / 2, "gone": 9.0}))
    refused = [not sent(bed.send_request()[1]) for _ in range(10)]
    assert all(refused[2:])
    bed.handle(SiblingProcessLoad({"s0": 3.0}))
    assert sent(bed.send_request()[1])[0].server != "s0"
    bed.handle(SiblingProcessLoad({}))
    assert all(peer.sibling_in_flight == 0.0 for peer in bed.balancer.endpoints.values())


# ---------------------------------------------------------------------- the node


def test_both_processes_of_an_upgrade_count_each_others_calls_until_one_ends(tmp_path):
    async def main():
        raw, server = listening(), Held()
        shared = {"accept_fd": str(os.dup(raw.fileno())), "tmpdir": str(tmp_path)}
        async with running(server, **shared) as old:
            caller = await Caller.to(old)
            caller.writer.write(request(name="q1"))
            await until(lambda: server.seen)
            new = Node(old.config)
            assert new.sibling_process is not None
            # As both run in one process here.
            new.sibling_process.handover = HandoverFiles(tmp_path / FOLDER_NAME, os.getpid() + 1)
            old.sibling_process.exchange()
            new.endpoint_list.apply_update(EndpointListKind.CACHED, new.config.initial_list)
            new.sibling_process.exchange(at_start=True)
            assert new.driver.balancer.endpoints["s0"].sibling_in_flight == 1.0
            assert old.driver.balancer.endpoints["s0"].sibling_in_flight == 0.0
            server.release.set()
            await caller.answer()
            old.sibling_process.exchange()
            new.sibling_process.exchange()
            assert new.driver.balancer.endpoints["s0"].sibling_in_flight == 0.0
            new.close()
            assert os.listdir(tmp_path / FOLDER_NAME) == [f"{FILE_PREFIX}{os.getpid()}"]
        assert os.listdir(tmp_path / FOLDER_NAME) == []
        raw.close()

    asyncio.run(main())


def test_a_node_with_a_socket_of_its_own_hands_nothing_over(tmp_path):
    async def main():
        async with running(Held(), tmpdir=str(tmp_path)) as node:
            node.periodic_tasks.tick(node.loop.time())
            assert node.sibling_process is None

    asyncio.run(main())
    assert not os.listdir(tmp_path)
