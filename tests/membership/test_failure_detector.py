"""Failure detector: groups on a simulated network, and one detector with valid and malformed messages."""

from __future__ import annotations

import pickle
import random
from dataclasses import replace
from itertools import product

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from loadbalancer.membership import (
    Ack,
    DetectorConfig,
    FailureDetector,
    IndirectProbe,
    Probe,
    QuotaStatus,
    Reachability,
    ReachabilityChanged,
    Sibling,
)
from loadbalancer.membership.payload import (
    MAX_PAYLOAD_BYTES,
    MAX_QUOTA_REPORTS,
    MemberStatus,
    MemberUpdate,
    Message,
    ProbeResult,
    QuotaReport,
    decode,
    encode,
)
from tests.support.detector_simulation import DetectorSimulation, ProcessEnd

LOSSY_LINKS = {"delay": (20.0, 200.0), "loss": 0.02}
MINUTE_MS = 60_000.0
EVERY_100_MS = DetectorConfig(period_ms=100.0)


def all_see(simulation: DetectorSimulation, target: int, state: Reachability) -> bool:
    return all(reachability is state for reachability in simulation.reachability_of(target).values())


def make_detector(siblings: int = 3, **config: float) -> FailureDetector:
    """The detector of node 1 with siblings 2 and up, listed at time 0; it probes every 100 ms."""
    settings = DetectorConfig(**({"period_ms": 100.0} | config))  # type: ignore[arg-type]
    detector = FailureDetector(1, random.Random(1), settings)
    member_list = [Sibling(number, f"n{number}", f"at-{number}") for number in range(1, siblings + 2)]
    detector.set_members(0.0, member_list)
    return detector


def next_probe(detector: FailureDetector, now: float = 0.0) -> Probe:
    (probe,) = [action for action in detector.tick(now) if isinstance(action, Probe)]
    return probe


# ------------------------------------------------------------------ groups


def test_loss_slow_links_and_short_pauses_cause_no_false_failure() -> None:
    simulation = DetectorSimulation(12, seed=4, config=EVERY_100_MS, **LOSSY_LINKS)
    for number, interval_ms in ((3, 600.0), (4, 700.0), (5, 1300.0)):
        simulation.pause_periodically(number, interval_ms, duration_ms=300.0)
    simulation.run(5 * MINUTE_MS)
    assert simulation.transitions_to(Reachability.SUSPECT), "no member was suspected, so nothing was refuted"
    assert simulation.transitions_to(Reachability.UNREACHABLE) == []


def test_same_faults_cause_false_failures_without_time_to_refute() -> None:
    simulation = DetectorSimulation(
        12, seed=4, config=replace(EVERY_100_MS, suspicion_min_ms=1, suspicion_max_ms=1), **LOSSY_LINKS
    )
    for number in (3, 4, 5):
        simulation.pause_periodically(number, 600.0, duration_ms=300.0)
    simulation.run(2 * MINUTE_MS)
    assert simulation.transitions_to(Reachability.UNREACHABLE)


@pytest.mark.parametrize(
    ("process_end", "timeout_ms"),
    [(ProcessEnd.REFUSED, 1500.0), (ProcessEnd.RESET, 3000.0), (ProcessEnd.SILENT, 4000.0)],
)
@pytest.mark.parametrize("seed", [1, 2, 3])
def test_killed_node_is_declared_failed_by_all_others(
    seed: int, process_end: ProcessEnd, timeout_ms: float
) -> None:
    simulation = DetectorSimulation(20, seed, config=EVERY_100_MS)
    simulation.run(3000)
    simulation.kill(7, process_end)
    assert (
        simulation.run_until(lambda: all_see(simulation, 7, Reachability.UNREACHABLE), timeout_ms=timeout_ms)
        < timeout_ms
    )
    assert {member for _, _, member in simulation.transitions_to(Reachability.UNREACHABLE)} == {7}


@pytest.mark.parametrize("one_way", [False, True])
def test_link_fault_is_distinguished_from_failure(one_way: bool) -> None:
    simulation = DetectorSimulation(10, seed=2, config=EVERY_100_MS, **LOSSY_LINKS)
    simulation.blocked_links = {(3, 7)} if one_way else {(3, 7), (7, 3)}
    ends = simulation.nodes[3].detector, simulation.nodes[7].detector
    reachabilities = lambda: (ends[0].reachability()[7], ends[1].reachability()[3])  # noqa: E731
    is_indirect = lambda: reachabilities() == (Reachability.INDIRECT, Reachability.INDIRECT)  # noqa: E731
    assert simulation.run_until(is_indirect, timeout_ms=10_000) < 10_000
    simulation.run(20_000)
    assert is_indirect()
    assert {
        (observer, member) for _, observer, member in simulation.transitions_to(Reachability.INDIRECT)
    } == {(3, 7), (7, 3)}
    assert simulation.transitions_to(Reachability.UNREACHABLE) == []
    simulation.blocked_links.clear()
    alive = lambda: reachabilities() == (Reachability.ALIVE, Reachability.ALIVE)  # noqa: E731
    assert simulation.run_until(alive, timeout_ms=5000) < 5000


def test_partitioned_halves_fail_each_other_and_recover_after_heal() -> None:
    simulation = DetectorSimulation(10, seed=3, config=EVERY_100_MS, **LOSSY_LINKS)
    simulation.run(2000)
    left, right = range(1, 6), range(6, 11)
    simulation.partition(left, right)
    simulation.run(30_000)
    for one, other in product(simulation.nodes, simulation.nodes):
        if one != other:
            separated = (one in left) != (other in left)
            expected = Reachability.UNREACHABLE if separated else Reachability.ALIVE
            assert simulation.nodes[one].detector.reachability()[other] is expected
    simulation.blocked_links.clear()
    healed = lambda: all(all_see(simulation, number, Reachability.ALIVE) for number in simulation.nodes)  # noqa: E731
    assert simulation.run_until(healed, timeout_ms=10_000) < 10_000


def test_node_suspects_nobody_after_long_pause_and_is_alive_again() -> None:
    simulation = DetectorSimulation(8, seed=5, config=EVERY_100_MS)
    simulation.run(2000)
    simulation.pause(2, duration_ms=8000)
    simulation.run(7990)
    assert all_see(simulation, 2, Reachability.UNREACHABLE)
    assert simulation.run_until(lambda: all_see(simulation, 2, Reachability.ALIVE), timeout_ms=3000) < 3000
    simulation.run(10_000)
    assert [change for _, observer, change in simulation.changes if observer == 2] == []
    assert simulation.nodes[2].detector.ignored["refuted"] == 1


def test_call_rate_per_node_is_independent_of_group_size() -> None:
    rates = []
    for size in (10, 60):
        simulation = DetectorSimulation(size, seed=1, config=EVERY_100_MS)
        simulation.run(5000)
        rates.append(sum(node.calls_sent for node in simulation.nodes.values()) / size / 5)
    assert rates[1] == pytest.approx(rates[0], rel=0.02)


def test_failed_members_cause_no_indirect_probes() -> None:
    simulation = DetectorSimulation(9, seed=1, config=EVERY_100_MS)
    for number in (2, 4, 6):
        simulation.kill(number, ProcessEnd.SILENT)
    simulation.run(10_000)
    before = simulation.nodes[1].calls_sent
    simulation.run(10_000)
    assert 95 <= simulation.nodes[1].calls_sent - before <= 101


def test_quota_reports_and_views_reach_all_members() -> None:
    simulation = DetectorSimulation(20, seed=6, config=EVERY_100_MS, **LOSSY_LINKS)
    for number, node in simulation.nodes.items():
        node.detector.set_quota_status(simulation.clock(node), QuotaStatus.HOLDING, 5000.0 + number)
        node.detector.set_view(bytes([number]))
    simulation.run(4000)
    expected = {number: (QuotaStatus.HOLDING, 5000.0 + number) for number in simulation.nodes}
    assert all(node.detector.quota_reports() == expected for node in simulation.nodes.values())
    for node in simulation.nodes.values():
        assert {view.view[0] for view in node.views} == set(simulation.nodes) - {node.incarnation}
        for view in node.views:
            sent_at_ms = view.sent_at_ms - simulation.nodes[view.incarnation].skew + node.skew
            assert (
                (view.probe_sent_ms if view.probe_sent_ms is not None else sent_at_ms)
                <= sent_at_ms
                <= view.received_ms
            )


def test_corrupt_payloads_raise_nothing_and_change_no_state() -> None:
    simulation = DetectorSimulation(8, seed=7, config=EVERY_100_MS)
    rng = random.Random(8)
    for _ in range(400):
        simulation.run(50)
        sender, to = rng.sample(list(simulation.nodes.values()), 2)
        payload = bytearray(_accusing_all(sender.incarnation))
        for _ in range(rng.randint(1, 3)):
            payload[rng.randrange(len(payload))] = rng.randrange(256)
        to.detector.on_probe(simulation.clock(to), bytes(payload))
    simulation.run(5000)
    assert all(all_see(simulation, number, Reachability.ALIVE) for number in simulation.nodes)
    assert sum(node.detector.ignored["malformed ask"] for node in simulation.nodes.values()) > 50
    assert all(len(pickle.dumps(node.detector)) < 30_000 for node in simulation.nodes.values())


def _accusing_all(sender: int) -> bytes:
    updates = tuple(MemberUpdate(number, 0, MemberStatus.SUSPECT, (sender,)) for number in range(1, 9))
    return encode(
        Message(
            sender, 0, 1.0, updates=updates, quota_reports=(QuotaReport(sender, QuotaStatus.HOLDING, 9.0),)
        )
    )


# ------------------------------------------------------------------ one node


def receive_updates(
    detector: FailureDetector, *updates: MemberUpdate, sender: int = 2, now: float = 0.0
) -> Message:
    return ack_of(detector, encode(Message(sender, 0, 0.0, updates=updates)), now)


def ack_of(detector: FailureDetector, probe: bytes, now: float = 0.0) -> Message:
    """Let the detector receive a probe, and return its ack."""
    payload, _ = detector.on_probe(now, probe)
    assert payload is not None
    message = decode(payload)
    assert message is not None
    return message


def test_refutation_count_rises_only_above_an_accusation() -> None:
    detector = make_detector()
    assert receive_updates(detector, MemberUpdate(1, 0, MemberStatus.SUSPECT, (2,))).count == 1
    assert receive_updates(detector, MemberUpdate(1, 0, MemberStatus.FAILED)).count == 1  # already refuted
    assert receive_updates(detector, MemberUpdate(1, 5, MemberStatus.ALIVE)).count == 1
    # A count jump that is too large, and a sender that is not listed.
    assert receive_updates(detector, MemberUpdate(1, 2000, MemberStatus.FAILED)).count == 1
    assert receive_updates(detector, MemberUpdate(1, 9, MemberStatus.SUSPECT), sender=77).count == 1
    assert receive_updates(detector, MemberUpdate(1, 7, MemberStatus.FAILED)).count == 8
    assert detector.ignored["absurd count"] == 1


def test_large_count_jump_is_accepted_only_in_ack_of_that_member() -> None:
    detector = make_detector(siblings=1)
    receive_updates(detector, MemberUpdate(2, 5000, MemberStatus.FAILED))
    assert detector.reachability()[2] is Reachability.ALIVE
    probe = next_probe(detector)
    detector.on_ack(1.0, probe.id, encode(Message(2, 4999, 0.0)))
    receive_updates(detector, MemberUpdate(2, 5000, MemberStatus.FAILED))
    assert detector.reachability()[2] is Reachability.UNREACHABLE


def test_suspicion_does_not_time_out_during_own_pause() -> None:
    detector = make_detector()
    detector.tick(0.0)
    receive_updates(detector, MemberUpdate(3, 0, MemberStatus.REFUSED, (2,)))
    detector.tick(5000.0)
    assert detector.reachability()[3] is Reachability.SUSPECT
    receive_updates(detector, MemberUpdate(3, 0, MemberStatus.REFUSED, (2, 4)), now=5001.0)
    detector.tick(5100.0)
    receive_updates(detector, MemberUpdate(3, 1, MemberStatus.ALIVE), now=5110.0)
    assert detector.reachability()[3] is Reachability.ALIVE


def test_each_round_probes_each_member_once_in_new_order() -> None:
    detector = make_detector(siblings=9)
    targets = []
    for period in range(27):
        probe = next_probe(detector, 100.0 * period)
        targets.append(probe.target)
        detector.on_ack(100.0 * period + 1, probe.id, encode(Message(probe.target, 0, 0.0)))
        detector.tick(100.0 * period + 50)
    rounds = targets[:9], targets[9:18], targets[18:]
    assert [sorted(order) for order in rounds] == [list(range(2, 11))] * 3
    assert rounds[1] != rounds[2]


def test_suspect_receives_its_own_suspicion_first() -> None:
    detector = make_detector(siblings=40, updates=2)
    for number in range(3, 30):
        receive_updates(detector, MemberUpdate(number, 1, MemberStatus.ALIVE))
    receive_updates(detector, MemberUpdate(30, 4, MemberStatus.SUSPECT, (2,)))
    assert receive_updates(detector, sender=30).updates[0] == MemberUpdate(30, 4, MemberStatus.SUSPECT, (2,))


def test_confirmed_refusal_has_shorter_suspicion_timeout_than_silence() -> None:
    for refused, duration_ms in ((True, 300.0), (False, 1000.0)):
        detector = make_detector(siblings=4)
        probe = next_probe(detector)
        indirect = detector.on_failure(1.0, probe.id, refused)
        assert len([action for action in indirect if isinstance(action, IndirectProbe)]) == 3
        outcome = ProbeResult.REFUSED if refused else ProbeResult.TIMED_OUT
        changes = []
        for action in indirect:
            assert isinstance(action, IndirectProbe)
            ack = encode(Message(action.helper, 0, 0.0, result=outcome))
            changes += detector.on_ack(2.0, action.id, ack)
        assert changes == [ReachabilityChanged(probe.target, Reachability.ALIVE, Reachability.SUSPECT)]
        failed_at = []
        for now in range(50, 1100, 50):
            detector.tick(float(now))
            failed_at += [now] if detector.reachability()[probe.target] is Reachability.UNREACHABLE else []
        assert failed_at[0] - duration_ms == pytest.approx(2.0, abs=50)


def test_ack_by_another_process_counts_as_refusal() -> None:
    detector = make_detector(siblings=1)
    probe = next_probe(detector)
    detector.on_ack(1.0, probe.id, encode(Message(99, 0, 0.0)))
    detector.tick(50.0)
    assert detector.reachability()[2] is Reachability.SUSPECT
    for now in range(100, 400, 50):
        detector.tick(float(now))
    assert detector.reachability()[2] is Reachability.UNREACHABLE


def test_probe_failures_during_own_pause_are_inconclusive() -> None:
    detector = make_detector()
    probe = next_probe(detector)
    call = encode(Message(2, 0, 0.0, target=3))
    (relayed,) = detector.on_indirect_probe(10.0, 5, call)
    assert isinstance(relayed, Probe)
    assert detector.on_failure(400.0, probe.id, refused=False) == []  # no tick for 400 ms: a pause
    (ack,) = detector.on_failure(400.0, relayed.id, refused=False)
    assert isinstance(ack, Ack)
    assert ack.payload is not None
    assert (decode(ack.payload) or Message(0, 0, 0)).result is ProbeResult.INCONCLUSIVE
    assert detector.health == 1


def test_reports_of_removed_members_are_dropped_and_incarnation_only_rises() -> None:
    detector = make_detector()
    detector.set_quota_status(0.0, QuotaStatus.ATTACHED, 1000.0)
    reports = tuple(QuotaReport(number, QuotaStatus.HOLDING, 900.0) for number in (2, 3, 9))
    detector.on_probe(0.0, encode(Message(2, 0, 0.0, quota_reports=reports)))
    assert sorted(detector.quota_reports()) == [1, 2, 3]
    detector.set_members(1.0, [Sibling(1, "n1", "at-1"), Sibling(3, "n3", "at-3")])
    assert sorted(detector.quota_reports()) == [1, 3]
    detector.set_incarnation(8)
    detector.set_incarnation(4)
    assert (detector.incarnation, sorted(detector.quota_reports())) == (8, [3])


def test_only_reports_of_detached_members_are_forwarded() -> None:
    detector = make_detector(siblings=4)
    detector.set_quota_status(0.0, QuotaStatus.ATTACHED, 1000.0)
    statuses = {
        2: QuotaStatus.ATTACHED,
        3: QuotaStatus.HOLDING,
        4: QuotaStatus.YIELDED,
        5: QuotaStatus.ATTACHED,
    }
    reports = tuple(QuotaReport(number, status, 900.0) for number, status in statuses.items())
    forwarded = ack_of(detector, encode(Message(2, 0, 0.0, quota_reports=reports))).quota_reports
    assert detector.quota_reports() == {1: (QuotaStatus.ATTACHED, 1000.0)} | {
        number: (status, 900.0) for number, status in statuses.items()
    }
    assert {(report.incarnation, report.status) for report in forwarded} == {
        (1, QuotaStatus.ATTACHED),
        (3, QuotaStatus.HOLDING),
        (4, QuotaStatus.YIELDED),
    }
    newer = Message(3, 0, 0.0, quota_reports=(QuotaReport(3, QuotaStatus.ATTACHED, 950.0),))
    forwarded = ack_of(detector, encode(newer)).quota_reports
    assert {report.incarnation for report in forwarded} == {1, 4}


def test_quota_reports_about_self_or_without_known_time_are_ignored() -> None:
    """Reports about the node itself or from the future are ignored; all are while service time is unknown."""
    detector = make_detector()
    reports = (
        QuotaReport(1, QuotaStatus.YIELDED, 9e5),
        QuotaReport(2, QuotaStatus.HOLDING, 9e5),
        QuotaReport(3, QuotaStatus.HOLDING, 5e3),
    )
    detector.on_probe(0.0, encode(Message(2, 0, 0.0, quota_reports=reports)))
    assert detector.quota_reports() == {}
    detector.set_quota_status(0.0, QuotaStatus.ATTACHED, 5000.0)
    detector.on_probe(1.0, encode(Message(2, 0, 0.0, quota_reports=reports)))
    assert detector.quota_reports() == {1: (QuotaStatus.ATTACHED, 5000.0), 3: (QuotaStatus.HOLDING, 5000.0)}


def test_payload_size_is_bounded_in_large_group() -> None:
    detector = make_detector(siblings=3000)
    detector.set_quota_status(0.0, QuotaStatus.ATTACHED, 1.7e12)
    detector.set_view(b"v" * 20_000)
    detector.set_view(b"v" * 16_000)
    for start in range(2, 3002, 500):
        reports = tuple(
            QuotaReport(number, QuotaStatus.HOLDING, 1.7e12) for number in range(start, start + 500)
        )
        updates = tuple(
            MemberUpdate(number, 1, MemberStatus.SUSPECT, (2, 3, 4)) for number in range(start, start + 60)
        )
        detector.on_probe(0.0, encode(Message(2, 0, 0.0, quota_reports=reports, updates=updates)))
    payload, _ = detector.on_probe(0.0, encode(Message(2, 0, 0.0)))
    assert payload is not None
    message = decode(payload)
    assert message is not None
    assert len(message.quota_reports) == MAX_QUOTA_REPORTS
    assert len(payload) < MAX_PAYLOAD_BYTES / 2
    assert detector.ignored["own view too large"] == 1


def test_relayed_probes_are_limited_and_abandoned_calls_dropped() -> None:
    detector = make_detector(relayed_probes=4)
    call = encode(Message(2, 0, 0.0, target=3))
    actions = [detector.on_indirect_probe(0.0, number, call)[0] for number in range(6)]
    assert [type(action) for action in actions] == [Probe] * 4 + [Ack] * 2
    for now in range(0, 60_000, 50):
        detector.tick(float(now))
    assert detector.ignored["ask never ended"] > 4
    assert isinstance(detector.on_indirect_probe(60_000.0, 9, call)[0], Probe)
    assert len(pickle.dumps(detector)) < 10_000


_small_numbers = st.integers(0, 6)
_updates = st.builds(
    MemberUpdate,
    _small_numbers,
    st.integers(0, 3),
    st.sampled_from(MemberStatus),
    st.tuples(_small_numbers, _small_numbers),
)


@given(st.lists(_updates, max_size=12), st.randoms(use_true_random=False))
def test_updates_merge_to_same_state_in_any_order(updates: list[MemberUpdate], rng: random.Random) -> None:
    def merged(
        order: list[MemberUpdate],
    ) -> tuple[dict[int, Reachability], set[tuple[int, int, MemberStatus]]]:
        detector = make_detector(siblings=6)
        receive_updates(detector, *order)
        return detector.reachability(), {
            (r.incarnation, r.count, r.status) for r in receive_updates(detector).updates
        }

    shuffled = list(updates)
    rng.shuffle(shuffled)
    assert merged(updates) == merged(shuffled)


_any_values = st.recursive(
    st.none() | st.integers(-(1 << 63), 1 << 63) | st.floats() | st.binary(max_size=9) | st.text(max_size=3),
    lambda inner: st.lists(inner, max_size=9),
    max_leaves=30,
)
_valid_messages = st.builds(
    Message,
    st.integers(0, 9),
    st.integers(0, 1 << 40),
    st.floats(-1e15, 1e15),
    st.integers(0, 9),
    st.sampled_from(ProbeResult),
    st.lists(
        st.builds(MemberUpdate, st.integers(0, 9), st.integers(0, 1 << 40), st.sampled_from(MemberStatus)),
        max_size=9,
    ),
    st.lists(
        st.builds(QuotaReport, st.integers(0, 9), st.sampled_from(QuotaStatus), st.floats(0, 1e15)),
        max_size=9,
    ),
    st.binary(max_size=9),
)


@settings(max_examples=100)
@given(
    st.lists(
        st.binary(max_size=60) | _any_values.map(encode) | _valid_messages.map(encode), min_size=1, max_size=6
    )
)
def test_arbitrary_payloads_raise_nothing_and_add_no_members(payloads: list[bytes]) -> None:
    detector = make_detector()
    detector.set_quota_status(0.0, QuotaStatus.ATTACHED, 1000.0)
    for now, payload in enumerate(payloads):
        ack, _ = detector.on_probe(float(now), payload)
        assert (ack is None) == (decode(payload) is None)
        detector.on_indirect_probe(float(now), now, payload)
        for action in detector.tick(float(now)):
            if isinstance(action, Probe):
                detector.on_ack(float(now), action.id, payload)
        own_message = decode(detector.on_probe(float(now), encode(Message(2, 0, 0.0)))[0] or b"")
        assert own_message is not None, "the node's own payload cannot be decoded"
    assert set(detector.reachability()) == {2, 3, 4}
    assert set(detector.quota_reports()) <= {1, 2, 3, 4}
    assert detector.quota_reports()[1] == (QuotaStatus.ATTACHED, 1000.0)


@pytest.mark.parametrize(
    "invalid",
    [
        {"period_ms": 0},
        {"probe_timeout_ms": float("nan")},
        {"suspicion_max_ms": 1},
        {"helpers": 8},
        {"updates": 0},
    ],
)
def test_out_of_range_settings_raise(invalid: dict[str, float]) -> None:
    with pytest.raises(ValueError, match=r"range|failure detector|suspicion"):
        DetectorConfig(**invalid)  # type: ignore[arg-type]
