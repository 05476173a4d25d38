"""Staleness: offsets and ages that hold on any link, confidence within its limits, strict decoding."""

from __future__ import annotations

import math
import random

import msgspec
import pytest
from hypothesis import example, given
from hypothesis import strategies as st

from loadbalancer.endpoints import AttemptResult, Confidence
from loadbalancer.staleness import ClockOffsets, ConfidenceTracker, FreshnessTable, server_edge, sibling_edge
from loadbalancer.staleness.clock_offsets import MAX_DRIFT_PPM, MAX_PEERS, MAX_SAMPLES
from loadbalancer.staleness.confidence import MAX_AGE_PERIODS, RISE_AGE_RATIO, SUSTAINED_PERIODS
from loadbalancer.staleness.freshness import ReportRejection
from loadbalancer.staleness.gossip_reports import MAX_ORIGINS
from loadbalancer.staleness.report_selection import MAX_FLIPPED, MAX_RECENT, MAX_ROTATED

P, EVERY = 15.0, 30.0
delays = st.floats(0.0, 500.0)
calls = st.lists(st.tuples(st.floats(0.0, 20_000.0), delays, delays, delays), min_size=1, max_size=24)
skews = st.floats(-2000.0, 2000.0) | st.floats(1.7e12, 1.8e12)
drifts = st.floats(-MAX_DRIFT_PPM, MAX_DRIFT_PPM).map(lambda ppm: ppm / 1e6)


class Peer:
    """A clock with a skew and a constant drift from local time, and how long its calls take."""

    def __init__(self, skew: float, drift: float, start: float) -> None:
        self.skew, self.drift, self.start, self.now = skew, drift, start, start

    def shows(self, local: float) -> float:
        return local + self.skew + (local - self.start) * self.drift

    def call(self, offsets: ClockOffsets, wait: float, there: float, held: float, back: float) -> bool:
        t1 = self.now + wait
        self.now = t1 + there + held + back
        times = (self.shows(t1 + there), self.shows(t1 + there + held))
        return offsets.add_sample("peer", t1, *times, self.now)


def table_of(
    *servers: str, offsets: ClockOffsets | None = None, members: tuple[int, ...] = (7,)
) -> FreshnessTable:
    table = FreshnessTable(offsets or ClockOffsets())
    table.confirm_list(0.0, 1, servers)
    table.set_members(members)
    return table


@given(skews, drifts, st.floats(0.0, 1e9), calls, st.floats(0.0, 1e5))
def test_the_true_offset_lies_within_the_interval(skew, drift, start, plan, later):
    offsets, peer = ClockOffsets(), Peer(skew, drift, start)
    for wait, there, held, back in plan:
        assert peer.call(offsets, wait, there, held, back)
        for now in (peer.now, peer.now + later):
            low, high = offsets.offset("peer", now)
            assert low <= peer.shows(now) - now <= high
            drifted = 3.2 * MAX_DRIFT_PPM / 1e6 * (now - peer.now + there + held + back)  # allowed, and true
            assert high - low <= there + back + drifted + 0.1
    assert offsets.rejections.clock_jumps == offsets.rejections.invalid == 0


@given(skews, drifts, calls, st.floats(-1e5, 1e5))
def test_times_of_either_clock_convert_to_intervals_that_hold_the_other(skew, drift, plan, span):
    offsets, peer = ClockOffsets(), Peer(skew, drift, 1e6)
    for call in plan:
        peer.call(offsets, *call)
    now, own = peer.now + 10.0, peer.now + span
    low, high = offsets.to_local("peer", now, peer.shows(own))
    assert low <= own <= high
    low, high = offsets.to_peer("peer", now, own)
    assert low <= peer.shows(own) <= high


def test_a_jump_drops_the_samples_before_it_and_is_counted_once():
    offsets, peer = ClockOffsets(), Peer(0.0, 0.0, 0.0)
    for _ in range(MAX_SAMPLES):
        peer.call(offsets, 100.0, 5.0, 1.0, 80.0)
    peer.skew = 2000.0
    for _ in range(3):
        peer.call(offsets, 100.0, 5.0, 1.0, 80.0)
    low, high = offsets.offset("peer", peer.now)
    assert offsets.rejections.clock_jumps == 1
    assert low <= 2000.0 <= high
    assert high - low < 86.0


@pytest.mark.parametrize("samples", [2, MAX_SAMPLES])
@pytest.mark.parametrize("off", [-5000.0, -100.0, 100.0, 5000.0])
def test_one_sample_that_contradicts_the_others_displaces_none_of_them(samples, off):
    offsets, peer = ClockOffsets(), Peer(0.0, 0.0, 0.0)
    for _ in range(samples):
        peer.call(offsets, 100.0, 5.0, 1.0, 5.0)
    offsets.add_sample("peer", peer.now, peer.now + off + 4.0, peer.now + off + 5.0, peer.now + 10.0)
    peer.now += 10.0
    low, high = offsets.offset("peer", peer.now)
    assert low <= 0.0 <= high  # it may be the one that is right, so both are in the interval
    assert low <= off <= high
    peer.call(offsets, 100.0, 5.0, 1.0, 5.0)
    low, high = offsets.offset("peer", peer.now)
    assert low <= 0.0 <= high
    assert high - low < 11.0
    assert (offsets.rejections.outliers, offsets.rejections.clock_jumps) == (1, 0)


def test_samples_that_contradict_all_others_and_each_other_displace_none():
    offsets, peer = ClockOffsets(), Peer(0.0, 0.0, 0.0)
    for _ in range(MAX_SAMPLES):
        peer.call(offsets, 100.0, 5.0, 1.0, 5.0)
    for off in (-5000.0, 3000.0, -700.0):
        offsets.add_sample("peer", peer.now, peer.now + off + 4.0, peer.now + off + 5.0, peer.now + 10.0)
        peer.now += 10.0
        low, high = offsets.offset("peer", peer.now)
        assert low <= 0.0 <= high
    assert (offsets.rejections.outliers, offsets.rejections.clock_jumps) == (3, 0)


def test_a_sibling_that_is_answered_for_by_an_older_ack_is_not_taken_for_fresher():
    """Its facts would be dated later than they are by as much as the ack is older."""
    table, there = table_of("s"), table_of("s")
    for at in (100.0, 200.0):
        table.clock_offsets.add_sample(7, at, at, at, at + 1.0)
    there.record_outcome(100.0, "s", AttemptResult.OK)
    table.clock_offsets.add_sample(7, 900.0, 210.0, 210.0, 901.0)
    table.receive_report(901.0, 7, there.make_report(200.0))
    least, most = server_edge(table, 901.0, "s").age
    assert least <= 801.0 <= most


@pytest.mark.parametrize(
    "times",
    [
        (10.0, 0.0, 0.0, 9.0),  # back before it was sent
        (0.0, 5.0, 4.0, 9.0),  # answered before it came
        (0.0, 0.0, 20.0, 10.0),  # held for longer than the call took
        (0.0, math.nan, 0.0, 1.0),
        (0.0, 10**400, 10**400, 1.0),
        (0.0, 0.0, 0.0, 1e6),
        (0.0, "0", None, 1.0),
    ],
)
def test_invalid_samples_are_counted_and_change_nothing(times):
    offsets = ClockOffsets()
    assert offsets.add_sample("peer", 0.0, 0.0, 0.0, 0.0)
    before = offsets.offset("peer", 0.0)
    assert not offsets.add_sample("peer", *times)
    assert offsets.rejections.invalid == 1
    assert offsets.offset("peer", 0.0) == before


def test_peers_are_bounded_and_the_one_sampled_longest_ago_goes():
    offsets = ClockOffsets()
    for peer in range(MAX_PEERS):
        offsets.add_sample(peer, 0.0, 0.0, 0.0, 0.0)
    offsets.add_sample(0, 1.0, 1.0, 1.0, 1.0)
    offsets.add_sample("one more", 1.0, 1.0, 1.0, 1.0)
    assert offsets.offset(0, 1.0)
    assert offsets.offset(1, 1.0) is None


@given(skews, drifts, calls, st.floats(0.0, 5000.0), delays, st.floats(0.0, 5000.0))
def test_a_reported_observation_s_true_age_lies_within_least_and_most(skew, drift, plan, old, way, later):
    offsets, peer = ClockOffsets(), Peer(skew, drift, 1e6)
    for call in plan:
        peer.call(offsets, *call)
    table, there = table_of("s", offsets=offsets, members=("peer",)), table_of("s")
    seen, sent = peer.now, peer.now + old
    there.record_outcome(peer.shows(seen), "s", AttemptResult.OK)
    assert table.receive_report(sent + way, "peer", there.make_report(peer.shows(sent))) is None
    now = sent + way + later
    for edge, true in (
        (server_edge(table, now, "s"), now - seen),
        (sibling_edge(table, now, "peer"), now - sent),
    ):
        least, most = edge.age
        assert least <= true + 0.01
        assert most >= true - 0.01
        assert least >= later - 0.01


def test_without_a_sample_a_reported_age_is_unbounded_until_it_is_reported_again():
    table, there = table_of("s"), table_of("s")
    there.record_outcome(100.0, "s", AttemptResult.OK)
    table.receive_report(200.0, 7, there.make_report(150.0))
    assert server_edge(table, 260.0, "s").age == (60.0, math.inf)
    table.clock_offsets.add_sample(7, 300.0, 300.0, 300.0, 301.0)
    table.receive_report(301.0, 7, there.make_report(300.0))
    least, most = server_edge(table, 301.0, "s").age
    assert 199.0 < least < most < 204.0
    table.clock_offsets.forget(7)
    table.receive_report(302.0, 7, there.make_report(301.0))
    assert server_edge(table, 302.0, "s").age == (least + 1.0, most + 1.0)
    table.clock_offsets.add_sample(
        7, 302.0, 1002.0, 1002.0, 302.0
    )  # its clock jumped: what it says now counts
    table.receive_report(303.0, 7, there.make_report(1003.0))
    least, most = server_edge(table, 303.0, "s").age
    assert 900.0 < least < most < 904.0


def test_revisions_behind_count_from_the_newest_that_a_present_member_holds():
    table, there = table_of("s"), table_of("s")
    there.confirm_list(0.0, 5)
    table.receive_report(1.0, 7, there.make_report(1.0))
    assert server_edge(table, 1.0, "s").revisions_behind == 4
    assert sibling_edge(table, 1.0, 7).revisions_behind == 0
    table.set_members(())
    assert server_edge(table, 1.0, "s").revisions_behind == 0


def test_a_report_is_bounded_and_has_new_failures_first_and_all_servers_in_rotation():
    names = [f"s{at}" for at in range(200)]
    there = table_of(*names)
    for at, name in enumerate(names):
        there.record_outcome(float(at), name, AttemptResult.RESET if name == "s3" else AttemptResult.OK)
    told: set[str] = set()
    for _ in range(math.ceil(200 / MAX_ROTATED)):
        facts = msgspec.msgpack.decode(there.make_report(300.0))[6]
        assert len(facts) <= MAX_FLIPPED + MAX_RECENT + MAX_ROTATED
        assert facts[0][0] == "s3"
        assert facts[1][0] == "s199"
        told.update(fact[0] for fact in facts)
    assert told == set(names)


def test_siblings_reports_are_bounded_by_the_list_and_the_members():
    members = tuple(range(20))
    table, there = table_of("s", "t", members=members), table_of("s", "t", "unlisted")
    for name in ("s", "t", "unlisted"):
        there.record_outcome(1.0, name, AttemptResult.OK)
    for member in members:
        table.receive_report(2.0, member, there.make_report(2.0))
    assert set(table.gossip) == {"s", "t"}
    assert {len(hearsay.by_origin) for hearsay in table.gossip.values()} == {MAX_ORIGINS}
    assert table.receive_report(2.0, "stranger", there.make_report(2.0)) is ReportRejection.UNKNOWN_MEMBER
    table.confirm_list(3.0, 2, ("t",))
    table.record_outcome(3.0, "s", AttemptResult.OK)  # an attempt that outlived its server's line
    assert set(table.gossip) == {"t"}
    assert not table.observations


def test_a_report_out_of_order_or_from_the_future_is_rejected_and_a_forged_sequence_does_not_last():
    table, there = table_of("s"), table_of("s")
    table.clock_offsets.add_sample(7, 0.0, 0.0, 0.0, 0.0)
    first, second = there.make_report(1.0), there.make_report(2.0)
    assert table.receive_report(3.0, 7, second) is None
    assert table.receive_report(3.0, 7, first) is ReportRejection.OUT_OF_ORDER
    age = sibling_edge(table, 9.0, 7).age
    assert (table.receive_report(9.0, 7, second), sibling_edge(table, 9.0, 7).age) == (
        None,
        age,
    )  # by another call
    assert table.receive_report(3.0, 7, there.make_report(500.0)) is ReportRejection.FROM_FUTURE
    assert table.clock_offsets.offset(7, 3.0) is None
    assert table.receive_report(4.0, 7, msgspec.msgpack.encode([1, 2**53, 4.0, 1, None, [], []])) is None
    assert table.receive_report(5.0, 7, there.make_report(5.0)) is None
    assert (table.counts.rejected, table.counts.accepted) == (
        {ReportRejection.OUT_OF_ORDER: 1, ReportRejection.FROM_FUTURE: 1},
        4,
    )


def good() -> list[object]:
    return [1, 9, 1.0, 1, 0.0, [["", 0.0, 1.0, 2, 3.0]], [["s", 1, 0.5, "ok", 0.5, 0.5, 0.5]]]


def bad(path: tuple[int, ...], value: object) -> list[object]:
    entry = row = good()
    for at in path[:-1]:
        row = row[at]
    row[path[-1]] = value
    return entry


@pytest.mark.parametrize(
    "entry",
    [
        bad((0,), 2),
        bad((2,), math.nan),
        bad((3,), 2**60),
        bad((4,), 1.5),  # confirmed after it was sent
        bad((5, 0, 4), math.nan),
        bad((5,), [["", 0.0, 1.0, 2, 3.0]] * 9),
        bad((6, 0, 0), "x" * 257),
        bad((6, 0, 3), "perhaps"),
        bad((6, 0, 4), 1.5),
        bad((6, 0, 5), math.nan),
        bad((6, 0, 6), None),
        bad((6,), [["s", 1, 0.5, "ok", 0.5, 0.5, 0.5]] * 65),
        [*good(), "more"],
    ],
)
def test_a_report_that_is_invalid_in_one_place_is_malformed(entry):
    table = table_of("s")
    assert table.receive_report(1.0, 7, msgspec.msgpack.encode(good())) is None
    assert table.receive_report(1.0, 7, msgspec.msgpack.encode(entry)) is ReportRejection.MALFORMED
    assert table.counts.rejected[ReportRejection.MALFORMED] == 1
    assert table.gossip["s"].by_origin[7].load == 0.5


@example(b"\x91" * 60_000)
@example(bytes(70_000))
@given(st.binary(max_size=200) | st.none() | st.text() | st.integers())
def test_any_other_payload_is_malformed_too(payload):
    assert table_of("s").receive_report(1.0, 7, payload) is ReportRejection.MALFORMED


class Ticker:
    """A table of one server "s", with confidence updated every 30 ms."""

    def __init__(self) -> None:
        self.table, self.now, self.last, self.connectivity = table_of("s"), 0.0, 0.0, "attached"
        self.tracker = ConfidenceTracker(self.table, P, EVERY, round_ms=1000.0)
        self.changes: list[Confidence] = []

    @property
    def level(self) -> Confidence:
        return self.tracker.levels["s"]

    def run(self, span: float, gap: float = math.inf) -> None:
        """Let time pass, with an answer every `gap` ms."""
        end = self.now + span
        while self.now < end:
            while self.last + gap <= self.now:
                self.last += gap
                self.table.record_outcome(self.last, "s", AttemptResult.OK)
            self.table.confirm_list(self.now, 1)
            self.changes += self.tracker.update(self.now, self.connectivity).values()
            self.now += EVERY

    def reason(self) -> object:
        return self.tracker.edge_statuses(self.now)[0].reason


def test_a_route_rises_step_by_step_on_steady_answers_and_falls_step_by_step_without():
    ticker = Ticker()
    ticker.run(EVERY)
    assert (ticker.changes, ticker.reason()) == ([Confidence.NONE], "unheard")
    ticker.run(3000.0, gap=60.0)
    assert (ticker.level, ticker.reason()) == (Confidence.HIGH, "heard")
    ticker.run(5000.0)
    assert ticker.level is Confidence.NONE
    assert ticker.changes[-6:] == [
        Confidence.LOW,
        Confidence.MEDIUM,
        Confidence.HIGH,
        Confidence.MEDIUM,
        Confidence.LOW,
        Confidence.NONE,
    ]
    ticker.table.record_outcome(ticker.now, "s", AttemptResult.OK)
    ticker.run(EVERY)
    assert (ticker.level, ticker.reason()) == (Confidence.LOW, "settling")


@given(st.integers(0, 2**32))
def test_no_high_or_medium_level_outlives_its_limit_and_none_flaps(seed):
    draw, ticker, sures, last = random.Random(seed), Ticker(), 0, -math.inf
    for _ in range(150):
        if draw.random() < 0.5:
            ticker.table.record_outcome(
                ticker.now,
                "s",
                draw.choice(
                    [AttemptResult.OK, AttemptResult.OK, AttemptResult.REJECTED, AttemptResult.RESET]
                ),
            )
        before = ticker.level if ticker.changes else Confidence.NONE
        ticker.run(draw.choice([EVERY, EVERY, 8 * EVERY]))
        age = (
            ticker.now - ticker.table.observations["s"].responded_at
            if ticker.table.observations
            else math.inf
        )
        assert ticker.level is not Confidence.HIGH or age <= MAX_AGE_PERIODS[0] * P
        assert ticker.level is not Confidence.MEDIUM or age <= MAX_AGE_PERIODS[1] * P
        if ticker.level is Confidence.HIGH and before is not Confidence.HIGH:
            assert ticker.now - last >= MAX_AGE_PERIODS[0] * P
            last, sures = ticker.now, sures + 1


@pytest.mark.parametrize(("bound", "better"), [(0, Confidence.HIGH), (1, Confidence.MEDIUM)])
def test_answers_at_intervals_around_a_limit_do_not_make_a_level_flap(bound, better):
    ticker = Ticker()
    for times in (0.9, 1.1):  # of the bound
        ticker.run(8000.0, gap=times * MAX_AGE_PERIODS[bound] * P)
        ticker.changes.clear()
        ticker.run(20_000.0, gap=times * MAX_AGE_PERIODS[bound] * P)
        assert ticker.changes == []
        assert ticker.level is not better
    ticker.run(8000.0, gap=0.5 * RISE_AGE_RATIO * MAX_AGE_PERIODS[bound] * P)
    assert ticker.level is better


def test_failed_attempts_lower_a_level_at_once_and_one_alone_does_not():
    ticker = Ticker()
    ticker.run(3000.0, gap=EVERY)
    ticker.changes.clear()
    for outcome in (AttemptResult.RESET, AttemptResult.OK, *[AttemptResult.ERROR] * 5):
        ticker.table.record_outcome(ticker.now, "s", outcome)
        ticker.run(EVERY)
    assert ticker.changes == [Confidence.MEDIUM, Confidence.LOW]
    assert ticker.reason() == "missing"


@pytest.mark.parametrize(
    ("connectivity", "level"), [("adrift", Confidence.MEDIUM), ("alone", Confidence.LOW)]
)
def test_lost_connectivity_lowers_levels_only_once_it_lasts(connectivity, level):
    ticker = Ticker()
    ticker.run(3000.0, gap=EVERY)
    ticker.changes.clear()
    for ticker.connectivity in (connectivity, "attached") * 4:
        ticker.run(SUSTAINED_PERIODS * P / 2, gap=EVERY)
    assert ticker.changes == []
    ticker.connectivity = connectivity
    ticker.run(2 * SUSTAINED_PERIODS * P, gap=EVERY)
    assert (ticker.level, ticker.reason()) == (level, connectivity)


def test_a_sibling_s_answers_give_medium_and_its_failures_lower_high():
    ticker = Ticker()
    ticker.table.clock_offsets.add_sample(7, 0.0, 0.0, 0.0, 0.0)
    there = table_of("s")
    alone, shared = (math.inf, Confidence.MEDIUM, "told"), (4 * EVERY, Confidence.HIGH, "heard")
    for gap, mark, why in (alone, shared, alone, shared):
        for _ in range(60):
            there.record_outcome(ticker.now - 5.0, "s", AttemptResult.OK)
            ticker.table.receive_report(ticker.now, 7, there.make_report(ticker.now - 1.0))
            ticker.run(EVERY, gap)
        assert (ticker.level, ticker.reason()) == (mark, why)
    there.record_outcome(ticker.now, "s", AttemptResult.CONNECT_FAILED)
    ticker.table.receive_report(ticker.now + 20.0, 7, there.make_report(ticker.now + 20.0))
    ticker.now += EVERY
    ticker.run(EVERY)
    assert (ticker.level, ticker.reason()) == (Confidence.MEDIUM, "missing-for-sibling")


def test_an_old_list_or_one_far_behind_lowers_levels():
    ticker = Ticker()
    ticker.run(3000.0, gap=EVERY)
    there = table_of("s")
    there.confirm_list(0.0, 4)
    ticker.table.receive_report(ticker.now, 7, there.make_report(1.0))
    ticker.run(300.0, gap=EVERY)
    assert (ticker.level, ticker.reason()) == (Confidence.MEDIUM, "behind")
    ticker.table.set_members(())
    ticker.run(600.0, gap=EVERY)
    assert ticker.level is Confidence.HIGH
    at = ticker.now + 7000.0
    ticker.table.record_outcome(at, "s", AttemptResult.OK)
    ticker.tracker.update(at, "attached")
    ticker.table.record_outcome(at + 200.0, "s", AttemptResult.OK)
    assert ticker.tracker.update(at + 200.0, "attached") == {"s": Confidence.MEDIUM}


def test_the_status_shows_every_edge():
    ticker = Ticker()
    ticker.run(EVERY)
    ticker.table.record_outcome(0.0, "s", AttemptResult.OK)
    row, sibling = ticker.tracker.edge_statuses(ticker.now)
    assert (row.target, row.least_ms, row.most_ms) == ("s", EVERY, EVERY)
    assert (sibling.kind, sibling.confidence.value, sibling.most_ms, sibling.reason) == (
        "sibling",
        "blind",
        None,
        "unheard",
    )
