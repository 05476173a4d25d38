"""The failure detector's normal and urgent probe periods: detection times, and when each one applies."""

from __future__ import annotations

from typing import Any

import pytest

from loadbalancer.membership import DetectorConfig, Probe, QuotaStatus, Reachability
from loadbalancer.membership.payload import MemberStatus, MemberUpdate, Message, encode
from tests.membership.test_failure_detector import (
    LOSSY_LINKS,
    MINUTE_MS,
    all_see,
    make_detector,
    receive_updates,
)
from tests.support.detector_simulation import DetectorSimulation, ProcessEnd

NO_URGENT_PERIOD = DetectorConfig(urgent_period_ms=1000.0)  # same as the normal period
HOLDING_TERM_FRACTION = (
    0.45  # fraction of the term from a node's first `HOLDING` to its lease's end (membership/member_lease.py)
)


def majority_waits(size: int, term_ms: float, runs: int, config: DetectorConfig, **links: Any) -> list[float]:
    """Time in ms that each node waits for a majority after all have lost the list service."""
    waits = []
    for seed in range(runs):
        simulation = DetectorSimulation(size, seed, config, **links)
        for node in simulation.nodes.values():
            node.quota_status = QuotaStatus.ATTACHED
        simulation.run(3000.0)
        simulation.disconnect_from_registry(term_ms)
        waits += simulation.majority_waits(2 * term_ms)
    return waits


@pytest.mark.parametrize("links", [{}, LOSSY_LINKS], ids=["fast", "lossy"])
@pytest.mark.parametrize(
    ("size", "term_ms", "runs"),
    [(2, 5000.0, 20), (2, 2000.0, 20), (7, 5000.0, 10), (7, 2000.0, 10), (100, 5000.0, 2)],
)
def test_disconnected_group_knows_of_holding_majority_before_leases_end(
    size: int, term_ms: float, runs: int, links: dict[str, Any]
) -> None:
    waits = majority_waits(size, term_ms, runs, DetectorConfig(), **links)
    assert max(waits) < HOLDING_TERM_FRACTION * term_ms


@pytest.mark.parametrize(("size", "term_ms", "runs"), [(7, 2000.0, 10), (100, 5000.0, 1)])
def test_majority_is_known_too_late_without_urgent_period(size: int, term_ms: float, runs: int) -> None:
    assert max(majority_waits(size, term_ms, runs, NO_URGENT_PERIOD)) > HOLDING_TERM_FRACTION * term_ms


@pytest.mark.parametrize(
    ("size", "process_end", "timeout_ms"),
    [
        (2, ProcessEnd.REFUSED, 1500.0),
        (2, ProcessEnd.SILENT, 14_000.0),  # no helper can show that the fault is not the prober's
        (7, ProcessEnd.REFUSED, 6500.0),
        (7, ProcessEnd.SILENT, 8000.0),
        (100, ProcessEnd.REFUSED, 5000.0),
        (100, ProcessEnd.SILENT, 8000.0),
    ],
)
@pytest.mark.parametrize("seed", [1, 2])
def test_killed_node_is_declared_failed_by_all_at_normal_period(
    size: int, process_end: ProcessEnd, timeout_ms: float, seed: int
) -> None:
    simulation = DetectorSimulation(size, seed)
    simulation.run(5000.0)
    simulation.kill(2, process_end)
    simulation.run(timeout_ms)
    assert all_see(simulation, 2, Reachability.UNREACHABLE)
    assert {member for _, _, member in simulation.transitions_to(Reachability.UNREACHABLE)} == {2}


def with_periodic_pauses(size: int, minutes: float, config: DetectorConfig) -> DetectorSimulation:
    """A third of the nodes pause for 800 ms, longer than the probe timeout, every 2 to 4 s."""
    simulation = DetectorSimulation(size, 8, config, **LOSSY_LINKS)
    for number in range(1, size // 3 + 2):
        simulation.pause_periodically(number, 2300.0 + 50.0 * number, duration_ms=800.0)
    simulation.run(minutes * MINUTE_MS)
    return simulation


@pytest.mark.parametrize(("size", "minutes"), [(2, 10), (7, 5), (100, 0.5)])
def test_no_live_node_is_declared_failed_at_normal_period(size: int, minutes: float) -> None:
    simulation = with_periodic_pauses(size, minutes, DetectorConfig())
    assert simulation.transitions_to(Reachability.SUSPECT), "no member was suspected, so nothing was refuted"
    assert simulation.transitions_to(Reachability.UNREACHABLE) == []


def test_suspect_refutes_too_late_without_urgent_period() -> None:
    assert with_periodic_pauses(100, 0.5, NO_URGENT_PERIOD).transitions_to(Reachability.UNREACHABLE)


def test_probe_period_is_urgent_while_not_attached() -> None:
    detector = make_detector(siblings=3, period_ms=1000.0)

    def probe_times(start: int, end: int, status: QuotaStatus) -> list[int]:
        """When probes were sent; each is acked at once, with a tick every 50 ms."""
        times = []
        for now in range(start, end, 50):
            detector.set_quota_status(now, status, 1000.0 + now)
            for probe in [action for action in detector.tick(now) if isinstance(action, Probe)]:
                detector.on_ack(now, probe.id, encode(Message(probe.target, 0, 0.0)))
                times.append(now)
        return times

    assert probe_times(0, 3500, QuotaStatus.ATTACHED) == [0, 1000, 2000, 3000]
    assert probe_times(3500, 3900, QuotaStatus.HOLDING) == [3500, 3600, 3700, 3800]
    assert probe_times(3900, 4100, QuotaStatus.YIELDED) == [3900, 4000]
    assert probe_times(4100, 6500, QuotaStatus.ATTACHED) == [5000, 6000]


def test_probe_period_is_urgent_while_member_is_suspected() -> None:
    detector = make_detector(siblings=3, period_ms=1000.0)
    receive_updates(detector, MemberUpdate(2, 0, MemberStatus.SUSPECT, (3,)))
    sent = 0
    for now in range(0, 1000, 50):
        for probe in [action for action in detector.tick(now) if isinstance(action, Probe)]:
            detector.on_ack(now, probe.id, encode(Message(probe.target, 0, 0.0)))
            sent += 1
    assert sent == 10
    receive_updates(detector, MemberUpdate(2, 1, MemberStatus.ALIVE), now=1000.0)
    assert not any(isinstance(action, Probe) for action in detector.tick(1000.0))


def test_ticks_are_short_while_probing_and_longer_while_idle() -> None:
    detector = make_detector(siblings=3, period_ms=1000.0)
    detector.set_quota_status(0.0, QuotaStatus.ATTACHED, 1000.0)
    (probe,) = [action for action in detector.tick(0.0) if isinstance(action, Probe)]
    assert detector.due == 50.0
    detector.on_ack(10.0, probe.id, encode(Message(probe.target, 0, 0.0)))
    detector.tick(50.0)
    assert detector.due == 150.0
    receive_updates(detector, MemberUpdate(2, 0, MemberStatus.SUSPECT, (3,)), now=100.0)
    detector.tick(150.0)
    assert detector.due is not None
    assert detector.due <= 200.0


@pytest.mark.parametrize(("pause_ms", "pauses"), [(90.0, 0), (210.0, 1)])
def test_pause_of_idle_node_is_detected(pause_ms: float, pauses: int) -> None:
    detector = make_detector(siblings=0, period_ms=1000.0)
    for now in range(0, 1000, 100):
        detector.tick(float(now))
    detector.tick(900.0 + 100.0 + pause_ms)
    assert detector.ignored["own stops"] == pauses
