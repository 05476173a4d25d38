"""The failure detector's two paces: what the steady one costs in time, and when the urgent one is kept."""

from __future__ import annotations

from typing import Any

import pytest

from loadbalancer.membership import DetectorConfig, Probe, QuotaStatus, Reachability
from loadbalancer.membership.payload import MemberStatus, MemberUpdate, Message, encode
from tests.membership.test_failure_detector import HOSTILE, MINUTE, all_have, answer, core
from tests.support.detector_simulation import Gone, World

ONE_PACE = DetectorConfig(urgent_period_ms=1000.0)  # without the urgent pace
HOLDS_FOR = (
    0.45  # of the lease term: from a node's first `HOLDING` to its lease's end (membership/member_lease.py)
)


def waits_for_a_majority(
    size: int, term_ms: float, runs: int, config: DetectorConfig, **links: Any
) -> list[float]:
    """How long each node waited that began to hold when all lost the list service."""
    waits = []
    for seed in range(runs):
        world = World(size, seed, config, **links)
        for node in world.nodes.values():
            node.quota_status = QuotaStatus.ATTACHED
        world.run(3000.0)
        world.cut_from_service(term_ms)
        waits += world.majority_waits(2 * term_ms)
    return waits


@pytest.mark.parametrize("links", [{}, HOSTILE], ids=["fast", "hostile"])
@pytest.mark.parametrize(
    ("size", "term_ms", "runs"),
    [(2, 5000.0, 20), (2, 2000.0, 20), (7, 5000.0, 10), (7, 2000.0, 10), (100, 5000.0, 2)],
)
def test_a_group_cut_off_from_the_service_hears_that_a_majority_holds_before_its_leases_end(
    size: int, term_ms: float, runs: int, links: dict[str, Any]
) -> None:
    waits = waits_for_a_majority(size, term_ms, runs, DetectorConfig(), **links)
    assert max(waits) < HOLDS_FOR * term_ms


@pytest.mark.parametrize(("size", "term_ms", "runs"), [(7, 2000.0, 10), (100, 5000.0, 1)])
def test_without_the_urgent_pace_a_majority_is_heard_too_late(size: int, term_ms: float, runs: int) -> None:
    assert max(waits_for_a_majority(size, term_ms, runs, ONE_PACE)) > HOLDS_FOR * term_ms


@pytest.mark.parametrize(
    ("size", "gone", "within"),
    [
        (2, Gone.REFUSED, 1500.0),
        (2, Gone.SILENT, 14_000.0),  # nobody else could show that it is not this node
        (7, Gone.REFUSED, 6500.0),
        (7, Gone.SILENT, 8000.0),
        (100, Gone.REFUSED, 5000.0),
        (100, Gone.SILENT, 8000.0),
    ],
)
@pytest.mark.parametrize("seed", [1, 2])
def test_a_killed_node_is_declared_failed_by_all_others_at_the_steady_pace(
    size: int, gone: Gone, within: float, seed: int
) -> None:
    world = World(size, seed)
    world.run(5000.0)
    world.kill(2, gone)
    world.run(within)
    assert all_have(world, 2, Reachability.UNREACHABLE)
    assert {of for _, _, of in world.turned(Reachability.UNREACHABLE)} == {2}


def stopped_again_and_again(size: int, minutes: float, config: DetectorConfig) -> World:
    """A third of the nodes each stop for 800 ms, longer than a probe waits, every 2 to 4 s."""
    world = World(size, 8, config, **HOSTILE)
    for number in range(1, size // 3 + 2):
        world.stop_every(number, 2300.0 + 50.0 * number, lasts=800.0)
    world.run(minutes * MINUTE)
    return world


@pytest.mark.parametrize(("size", "minutes"), [(2, 10), (7, 5), (100, 0.5)])
def test_no_live_node_is_declared_failed_at_the_steady_pace(size: int, minutes: float) -> None:
    world = stopped_again_and_again(size, minutes, DetectorConfig())
    assert world.turned(Reachability.SUSPECT), "no suspicion arose, so nothing was refuted"
    assert world.turned(Reachability.UNREACHABLE) == []


def test_without_the_urgent_pace_a_suspect_refutes_too_late() -> None:
    assert stopped_again_and_again(100, 0.5, ONE_PACE).turned(Reachability.UNREACHABLE)


def test_probes_come_at_the_steady_pace_and_at_the_urgent_one_while_not_attached() -> None:
    detector = core(siblings=3, period_ms=1000.0)

    def probed(start: int, end: int, standing: QuotaStatus) -> list[int]:
        """When probes went out; each is acked at once, and ticks come every 50 ms."""
        at = []
        for now in range(start, end, 50):
            detector.set_quota_status(now, standing, 1000.0 + now)
            for probe in [action for action in detector.tick(now) if isinstance(action, Probe)]:
                detector.on_ack(now, probe.id, encode(Message(probe.target, 0, 0.0)))
                at.append(now)
        return at

    assert probed(0, 3500, QuotaStatus.ATTACHED) == [0, 1000, 2000, 3000]
    assert probed(3500, 3900, QuotaStatus.HOLDING) == [3500, 3600, 3700, 3800]
    assert probed(3900, 4100, QuotaStatus.YIELDED) == [3900, 4000]
    assert probed(4100, 6500, QuotaStatus.ATTACHED) == [5000, 6000]


def test_probes_come_at_the_urgent_pace_while_a_member_is_suspected() -> None:
    detector = core(siblings=3, period_ms=1000.0)
    answer(detector, MemberUpdate(2, 0, MemberStatus.SUSPECT, (3,)))
    sent = 0
    for now in range(0, 1000, 50):
        for probe in [action for action in detector.tick(now) if isinstance(action, Probe)]:
            detector.on_ack(now, probe.id, encode(Message(probe.target, 0, 0.0)))
            sent += 1
    assert sent == 10
    answer(detector, MemberUpdate(2, 1, MemberStatus.ALIVE), now=1000.0)
    assert not any(isinstance(action, Probe) for action in detector.tick(1000.0))


def test_ticks_are_short_while_a_pause_could_mislead_and_longer_while_idle() -> None:
    detector = core(siblings=3, period_ms=1000.0)
    detector.set_quota_status(0.0, QuotaStatus.ATTACHED, 1000.0)
    (probe,) = [action for action in detector.tick(0.0) if isinstance(action, Probe)]
    assert detector.due == 50.0
    detector.on_ack(10.0, probe.id, encode(Message(probe.target, 0, 0.0)))
    detector.tick(50.0)
    assert detector.due == 150.0
    answer(detector, MemberUpdate(2, 0, MemberStatus.SUSPECT, (3,)), now=100.0)
    detector.tick(150.0)
    assert detector.due is not None
    assert detector.due <= 200.0


@pytest.mark.parametrize(("pause_ms", "stops"), [(90.0, 0), (210.0, 1)])
def test_a_pause_of_an_idle_node_is_seen(pause_ms: float, stops: int) -> None:
    detector = core(siblings=0, period_ms=1000.0)
    for now in range(0, 1000, 100):
        detector.tick(float(now))
    detector.tick(900.0 + 100.0 + pause_ms)
    assert detector.ignored["own stops"] == stops
