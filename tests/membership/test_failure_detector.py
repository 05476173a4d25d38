"""The failure detector: many on a simulated network, and what a single one makes of bad input."""

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
from tests.support.detector_simulation import Gone, World

HOSTILE = {"delay": (20.0, 200.0), "loss": 0.02}
MINUTE = 60_000.0
EVERY_100_MS = DetectorConfig(period_ms=100.0)


def all_have(world: World, target: int, state: Reachability) -> bool:
    return all(seen is state for seen in world.seen(target).values())


def core(siblings: int = 3, **config: float) -> FailureDetector:
    """Node 1 of a fleet, its siblings 2 and up known at time 0; it probes every 100 ms."""
    settings = DetectorConfig(**({"period_ms": 100.0} | config))  # type: ignore[arg-type]
    detector = FailureDetector(1, random.Random(1), settings)
    rows = [Sibling(number, f"n{number}", f"at-{number}") for number in range(1, siblings + 2)]
    detector.set_members(0.0, rows)
    return detector


def first_probe(detector: FailureDetector, now: float = 0.0) -> Probe:
    (probe,) = [action for action in detector.tick(now) if isinstance(action, Probe)]
    return probe


# ------------------------------------------------------------------ a fleet


def test_no_live_node_is_declared_failed_by_loss_slow_links_and_short_stops() -> None:
    world = World(12, seed=4, config=EVERY_100_MS, **HOSTILE)
    for number, every in ((3, 600.0), (4, 700.0), (5, 1300.0)):
        world.stop_every(number, every, lasts=300.0)
    world.run(5 * MINUTE)
    assert world.turned(Reachability.SUSPECT), "no suspicion arose, so nothing was refuted"
    assert world.turned(Reachability.UNREACHABLE) == []


def test_without_time_to_refute_the_same_faults_do_end_in_false_verdicts() -> None:
    world = World(12, seed=4, config=replace(EVERY_100_MS, suspicion_min_ms=1, suspicion_max_ms=1), **HOSTILE)
    for number in (3, 4, 5):
        world.stop_every(number, 600.0, lasts=300.0)
    world.run(2 * MINUTE)
    assert world.turned(Reachability.UNREACHABLE)


@pytest.mark.parametrize(
    ("gone", "within"), [(Gone.REFUSED, 1500.0), (Gone.RESET, 3000.0), (Gone.SILENT, 4000.0)]
)
@pytest.mark.parametrize("seed", [1, 2, 3])
def test_a_killed_node_is_declared_failed_by_all_others(seed: int, gone: Gone, within: float) -> None:
    world = World(20, seed, config=EVERY_100_MS)
    world.run(3000)
    world.kill(7, gone)
    assert world.run_until(lambda: all_have(world, 7, Reachability.UNREACHABLE), most=within) < within
    assert {of for _, _, of in world.turned(Reachability.UNREACHABLE)} == {7}


@pytest.mark.parametrize("one_way", [False, True])
def test_a_link_that_others_bridge_is_told_from_a_failure(one_way: bool) -> None:
    world = World(10, seed=2, config=EVERY_100_MS, **HOSTILE)
    world.cut = {(3, 7)} if one_way else {(3, 7), (7, 3)}
    ends = world.nodes[3].detector, world.nodes[7].detector
    seen = lambda: (ends[0].reachability()[7], ends[1].reachability()[3])  # noqa: E731
    bridged = lambda: seen() == (Reachability.INDIRECT, Reachability.INDIRECT)  # noqa: E731
    assert world.run_until(bridged, most=10_000) < 10_000
    world.run(20_000)
    assert bridged()
    assert {(who, of) for _, who, of in world.turned(Reachability.INDIRECT)} == {(3, 7), (7, 3)}
    assert world.turned(Reachability.UNREACHABLE) == []
    world.cut.clear()
    alive = lambda: seen() == (Reachability.ALIVE, Reachability.ALIVE)  # noqa: E731
    assert world.run_until(alive, most=5000) < 5000


def test_halves_lose_each_other_and_nobody_else_and_find_each_other_again() -> None:
    world = World(10, seed=3, config=EVERY_100_MS, **HOSTILE)
    world.run(2000)
    left, right = range(1, 6), range(6, 11)
    world.cut_between(left, right)
    world.run(30_000)
    for one, other in product(world.nodes, world.nodes):
        if one != other:
            parted = (one in left) != (other in left)
            expected = Reachability.UNREACHABLE if parted else Reachability.ALIVE
            assert world.nodes[one].detector.reachability()[other] is expected
    world.cut.clear()
    healed = lambda: all(all_have(world, number, Reachability.ALIVE) for number in world.nodes)  # noqa: E731
    assert world.run_until(healed, most=10_000) < 10_000


def test_a_node_stopped_for_long_suspects_nobody_for_it_and_is_alive_again() -> None:
    world = World(8, seed=5, config=EVERY_100_MS)
    world.run(2000)
    world.stop(2, lasts=8000)
    world.run(7990)
    assert all_have(world, 2, Reachability.UNREACHABLE)
    assert world.run_until(lambda: all_have(world, 2, Reachability.ALIVE), most=3000) < 3000
    world.run(10_000)
    assert [change for _, who, change in world.changes if who == 2] == []
    assert world.nodes[2].detector.ignored["refuted"] == 1


def test_calls_of_a_node_do_not_grow_with_the_fleet() -> None:
    rates = []
    for size in (10, 60):
        world = World(size, seed=1, config=EVERY_100_MS)
        world.run(5000)
        rates.append(sum(node.sent for node in world.nodes.values()) / size / 5)
    assert rates[1] == pytest.approx(rates[0], rel=0.02)


def test_nodes_that_are_known_to_be_gone_cost_no_calls_through_others() -> None:
    world = World(9, seed=1, config=EVERY_100_MS)
    for number in (2, 4, 6):
        world.kill(number, Gone.SILENT)
    world.run(10_000)
    before = world.nodes[1].sent
    world.run(10_000)
    assert 95 <= world.nodes[1].sent - before <= 101


def test_standings_and_views_reach_the_whole_fleet() -> None:
    world = World(20, seed=6, config=EVERY_100_MS, **HOSTILE)
    for number, node in world.nodes.items():
        node.detector.set_quota_status(world.clock(node), QuotaStatus.HOLDING, 5000.0 + number)
        node.detector.set_view(bytes([number]))
    world.run(4000)
    whole = {number: (QuotaStatus.HOLDING, 5000.0 + number) for number in world.nodes}
    assert all(node.detector.quota_reports() == whole for node in world.nodes.values())
    for node in world.nodes.values():
        assert {view.view[0] for view in node.viewed} == set(world.nodes) - {node.incarnation}
        for view in node.viewed:
            real = view.sent_at_ms - world.nodes[view.incarnation].skew + node.skew
            assert (
                (view.probe_sent_ms if view.probe_sent_ms is not None else real) <= real <= view.received_ms
            )


def test_corrupt_payloads_raise_nothing_and_leave_nothing_behind() -> None:
    world = World(8, seed=7, config=EVERY_100_MS)
    rng = random.Random(8)
    for _ in range(400):
        world.run(50)
        sender, to = rng.sample(list(world.nodes.values()), 2)
        payload = bytearray(_accusing_all(sender.incarnation))
        for _ in range(rng.randint(1, 3)):
            payload[rng.randrange(len(payload))] = rng.randrange(256)
        to.detector.on_probe(world.clock(to), bytes(payload))
    world.run(5000)
    assert all(all_have(world, number, Reachability.ALIVE) for number in world.nodes)
    assert sum(node.detector.ignored["malformed ask"] for node in world.nodes.values()) > 50
    assert all(len(pickle.dumps(node.detector)) < 30_000 for node in world.nodes.values())


def _accusing_all(sender: int) -> bytes:
    updates = tuple(MemberUpdate(number, 0, MemberStatus.SUSPECT, (sender,)) for number in range(1, 9))
    return encode(
        Message(
            sender, 0, 1.0, updates=updates, quota_reports=(QuotaReport(sender, QuotaStatus.HOLDING, 9.0),)
        )
    )


# ------------------------------------------------------------------ one node


def answer(detector: FailureDetector, *updates: MemberUpdate, sender: int = 2, now: float = 0.0) -> Message:
    return received(detector, encode(Message(sender, 0, 0.0, updates=updates)), now)


def received(detector: FailureDetector, probe: bytes, now: float = 0.0) -> Message:
    """The ack of a probe."""
    payload, _ = detector.on_probe(now, probe)
    assert payload is not None
    message = decode(payload)
    assert message is not None
    return message


def test_a_count_rises_past_an_accusation_and_by_nothing_else() -> None:
    detector = core()
    assert answer(detector, MemberUpdate(1, 0, MemberStatus.SUSPECT, (2,))).count == 1
    assert answer(detector, MemberUpdate(1, 0, MemberStatus.FAILED)).count == 1  # already refuted
    assert answer(detector, MemberUpdate(1, 5, MemberStatus.ALIVE)).count == 1
    assert answer(detector, MemberUpdate(1, 2000, MemberStatus.FAILED)).count == 1  # absurd
    assert answer(detector, MemberUpdate(1, 9, MemberStatus.SUSPECT), sender=77).count == 1  # no such sibling
    assert answer(detector, MemberUpdate(1, 7, MemberStatus.FAILED)).count == 8
    assert detector.ignored["absurd count"] == 1


def test_a_leap_of_a_count_is_taken_from_the_sibling_itself_only() -> None:
    detector = core(siblings=1)
    answer(detector, MemberUpdate(2, 5000, MemberStatus.FAILED))
    assert detector.reachability()[2] is Reachability.ALIVE
    probe = first_probe(detector)
    detector.on_ack(1.0, probe.id, encode(Message(2, 4999, 0.0)))
    answer(detector, MemberUpdate(2, 5000, MemberStatus.FAILED))
    assert detector.reachability()[2] is Reachability.UNREACHABLE


def test_a_suspicion_does_not_run_out_while_this_node_does_not_run() -> None:
    detector = core()
    detector.tick(0.0)
    answer(detector, MemberUpdate(3, 0, MemberStatus.REFUSED, (2,)))
    detector.tick(5000.0)
    assert detector.reachability()[3] is Reachability.SUSPECT
    answer(detector, MemberUpdate(3, 0, MemberStatus.REFUSED, (2, 4)), now=5001.0)
    detector.tick(5100.0)
    answer(detector, MemberUpdate(3, 1, MemberStatus.ALIVE), now=5110.0)
    assert detector.reachability()[3] is Reachability.ALIVE


def test_a_round_probes_each_member_once_in_an_order_of_its_own() -> None:
    detector = core(siblings=9)
    asked = []
    for period in range(27):
        probe = first_probe(detector, 100.0 * period)
        asked.append(probe.target)
        detector.on_ack(100.0 * period + 1, probe.id, encode(Message(probe.target, 0, 0.0)))
        detector.tick(100.0 * period + 50)
    rounds = asked[:9], asked[9:18], asked[18:]
    assert [sorted(order) for order in rounds] == [list(range(2, 11))] * 3
    assert rounds[1] != rounds[2]


def test_a_suspect_is_sent_its_own_suspicion_first() -> None:
    detector = core(siblings=40, updates=2)
    for number in range(3, 30):
        answer(detector, MemberUpdate(number, 1, MemberStatus.ALIVE))
    answer(detector, MemberUpdate(30, 4, MemberStatus.SUSPECT, (2,)))
    assert answer(detector, sender=30).updates[0] == MemberUpdate(30, 4, MemberStatus.SUSPECT, (2,))


def test_a_refusal_confirmed_by_a_helper_leaves_a_short_time_and_silence_a_long_one() -> None:
    for refused, lasts in ((True, 300.0), (False, 1000.0)):
        detector = core(siblings=4)
        probe = first_probe(detector)
        through = detector.on_failure(1.0, probe.id, refused)
        assert len([action for action in through if isinstance(action, IndirectProbe)]) == 3
        found = ProbeResult.REFUSED if refused else ProbeResult.TIMED_OUT
        changes = []
        for action in through:
            assert isinstance(action, IndirectProbe)
            reply = encode(Message(action.helper, 0, 0.0, result=found))
            changes += detector.on_ack(2.0, action.id, reply)
        assert changes == [ReachabilityChanged(probe.target, Reachability.ALIVE, Reachability.SUSPECT)]
        ended = []
        for now in range(50, 1100, 50):
            detector.tick(float(now))
            ended += [now] if detector.reachability()[probe.target] is Reachability.UNREACHABLE else []
        assert ended[0] - lasts == pytest.approx(2.0, abs=50)


def test_an_answer_by_another_process_at_the_address_is_a_refusal() -> None:
    detector = core(siblings=1)
    probe = first_probe(detector)
    detector.on_ack(1.0, probe.id, encode(Message(99, 0, 0.0)))
    detector.tick(50.0)
    assert detector.reachability()[2] is Reachability.SUSPECT
    for now in range(100, 400, 50):
        detector.tick(float(now))
    assert detector.reachability()[2] is Reachability.UNREACHABLE


def test_what_failed_while_this_node_did_not_run_is_no_evidence() -> None:
    detector = core()
    probe = first_probe(detector)
    call = encode(Message(2, 0, 0.0, target=3))
    (relayed,) = detector.on_indirect_probe(10.0, 5, call)
    assert isinstance(relayed, Probe)
    assert detector.on_failure(400.0, probe.id, refused=False) == []  # no tick for 400 ms
    (reply,) = detector.on_failure(400.0, relayed.id, refused=False)
    assert isinstance(reply, Ack)
    assert reply.payload is not None
    assert (decode(reply.payload) or Message(0, 0, 0)).result is ProbeResult.INCONCLUSIVE
    assert detector.health == 1


def test_rows_that_are_gone_are_forgotten_and_an_own_incarnation_only_rises() -> None:
    detector = core()
    detector.set_quota_status(0.0, QuotaStatus.ATTACHED, 1000.0)
    said = tuple(QuotaReport(number, QuotaStatus.HOLDING, 900.0) for number in (2, 3, 9))
    detector.on_probe(0.0, encode(Message(2, 0, 0.0, quota_reports=said)))
    assert sorted(detector.quota_reports()) == [1, 2, 3]
    detector.set_members(1.0, [Sibling(1, "n1", "at-1"), Sibling(3, "n3", "at-3")])
    assert sorted(detector.quota_reports()) == [1, 3]
    detector.set_incarnation(8)
    detector.set_incarnation(4)
    assert (detector.incarnation, sorted(detector.quota_reports())) == (8, [3])


def test_only_statements_of_others_that_are_not_attached_are_passed_on() -> None:
    detector = core(siblings=4)
    detector.set_quota_status(0.0, QuotaStatus.ATTACHED, 1000.0)
    standings = {
        2: QuotaStatus.ATTACHED,
        3: QuotaStatus.HOLDING,
        4: QuotaStatus.YIELDED,
        5: QuotaStatus.ATTACHED,
    }
    said = tuple(QuotaReport(number, standing, 900.0) for number, standing in standings.items())
    passed_on = received(detector, encode(Message(2, 0, 0.0, quota_reports=said))).quota_reports
    assert detector.quota_reports() == {1: (QuotaStatus.ATTACHED, 1000.0)} | {
        number: (standing, 900.0) for number, standing in standings.items()
    }
    assert {(told.incarnation, told.status) for told in passed_on} == {
        (1, QuotaStatus.ATTACHED),
        (3, QuotaStatus.HOLDING),
        (4, QuotaStatus.YIELDED),
    }
    overtaken = Message(3, 0, 0.0, quota_reports=(QuotaReport(3, QuotaStatus.ATTACHED, 950.0),))
    again = received(detector, encode(overtaken)).quota_reports
    assert {told.incarnation for told in again} == {1, 4}


def test_statements_from_the_future_of_this_node_or_before_its_time_is_known_are_not_taken() -> None:
    detector = core()
    said = (
        QuotaReport(1, QuotaStatus.YIELDED, 9e5),
        QuotaReport(2, QuotaStatus.HOLDING, 9e5),
        QuotaReport(3, QuotaStatus.HOLDING, 5e3),
    )
    detector.on_probe(0.0, encode(Message(2, 0, 0.0, quota_reports=said)))
    assert detector.quota_reports() == {}
    detector.set_quota_status(0.0, QuotaStatus.ATTACHED, 5000.0)
    detector.on_probe(1.0, encode(Message(2, 0, 0.0, quota_reports=said)))
    assert detector.quota_reports() == {1: (QuotaStatus.ATTACHED, 5000.0), 3: (QuotaStatus.HOLDING, 5000.0)}


def test_a_payload_of_a_vast_fleet_is_bounded() -> None:
    detector = core(siblings=3000)
    detector.set_quota_status(0.0, QuotaStatus.ATTACHED, 1.7e12)
    detector.set_view(b"v" * 20_000)
    detector.set_view(b"v" * 16_000)
    for start in range(2, 3002, 500):
        said = tuple(QuotaReport(number, QuotaStatus.HOLDING, 1.7e12) for number in range(start, start + 500))
        updates = tuple(
            MemberUpdate(number, 1, MemberStatus.SUSPECT, (2, 3, 4)) for number in range(start, start + 60)
        )
        detector.on_probe(0.0, encode(Message(2, 0, 0.0, quota_reports=said, updates=updates)))
    payload, _ = detector.on_probe(0.0, encode(Message(2, 0, 0.0)))
    assert payload is not None
    message = decode(payload)
    assert message is not None
    assert len(message.quota_reports) == MAX_QUOTA_REPORTS
    assert len(payload) < MAX_PAYLOAD_BYTES / 2
    assert detector.ignored["own view too large"] == 1


def test_calls_that_are_never_ended_or_come_too_many_take_no_more_room() -> None:
    detector = core(relayed_probes=4)
    call = encode(Message(2, 0, 0.0, target=3))
    taken = [detector.on_indirect_probe(0.0, number, call)[0] for number in range(6)]
    assert [type(action) for action in taken] == [Probe] * 4 + [Ack] * 2
    for now in range(0, 60_000, 50):
        detector.tick(float(now))
    assert detector.ignored["ask never ended"] > 4
    assert isinstance(detector.on_indirect_probe(60_000.0, 9, call)[0], Probe)
    assert len(pickle.dumps(detector)) < 10_000


_small = st.integers(0, 6)
_updates = st.builds(
    MemberUpdate, _small, st.integers(0, 3), st.sampled_from(MemberStatus), st.tuples(_small, _small)
)


@given(st.lists(_updates, max_size=12), st.randoms(use_true_random=False))
def test_updates_merge_to_the_same_in_any_order(updates: list[MemberUpdate], rng: random.Random) -> None:
    def merged(
        order: list[MemberUpdate],
    ) -> tuple[dict[int, Reachability], set[tuple[int, int, MemberStatus]]]:
        detector = core(siblings=6)
        answer(detector, *order)
        return detector.reachability(), {(r.incarnation, r.count, r.status) for r in answer(detector).updates}

    shuffled = list(updates)
    rng.shuffle(shuffled)
    assert merged(updates) == merged(shuffled)


_any = st.recursive(
    st.none() | st.integers(-(1 << 63), 1 << 63) | st.floats() | st.binary(max_size=9) | st.text(max_size=3),
    lambda inner: st.lists(inner, max_size=9),
    max_leaves=30,
)
_whole = st.builds(
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
@given(st.lists(st.binary(max_size=60) | _any.map(encode) | _whole.map(encode), min_size=1, max_size=6))
def test_nothing_that_a_member_sends_raises_or_adds_rows(payloads: list[bytes]) -> None:
    detector = core()
    detector.set_quota_status(0.0, QuotaStatus.ATTACHED, 1000.0)
    for now, payload in enumerate(payloads):
        reply, _ = detector.on_probe(float(now), payload)
        assert (reply is None) == (decode(payload) is None)
        detector.on_indirect_probe(float(now), now, payload)
        for action in detector.tick(float(now)):
            if isinstance(action, Probe):
                detector.on_ack(float(now), action.id, payload)
        own = decode(detector.on_probe(float(now), encode(Message(2, 0, 0.0)))[0] or b"")
        assert own is not None, "a node's own payload can't be read"
    assert set(detector.reachability()) == {2, 3, 4}
    assert set(detector.quota_reports()) <= {1, 2, 3, 4}
    assert detector.quota_reports()[1] == (QuotaStatus.ATTACHED, 1000.0)


@pytest.mark.parametrize(
    "bad",
    [
        {"period_ms": 0},
        {"probe_timeout_ms": float("nan")},
        {"suspicion_max_ms": 1},
        {"helpers": 8},
        {"updates": 0},
    ],
)
def test_settings_that_cannot_work_are_refused(bad: dict[str, float]) -> None:
    with pytest.raises(ValueError, match=r"range|failure detector|suspicion"):
        DetectorConfig(**bad)  # type: ignore[arg-type]
