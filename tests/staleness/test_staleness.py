"""The view: offsets and ages that hold on any link, marks within their bounds, garbage turned down."""

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
    """A clock that is off by a skew and a constant drift from own time, and what its calls take."""

    def __init__(self, skew: float, drift: float, start: float) -> None:
        self.skew, self.drift, self.start, self.now = skew, drift, start, start

    def shows(self, own: float) -> float:
        return own + self.skew + (own - self.start) * self.drift

    def call(self, offsets: ClockOffsets, wait: float, there: float, held: float, back: float) -> bool:
        t1 = self.now + wait
        self.now = t1 + there + held + back
        times = (self.shows(t1 + there), self.shows(t1 + there + held))
        return offsets.add_sample("peer", t1, *times, self.now)


def view_of(
    *servers: str, offsets: ClockOffsets | None = None, members: tuple[int, ...] = (7,)
) -> FreshnessTable:
    view = FreshnessTable(offsets or ClockOffsets())
    view.confirm_list(0.0, 1, servers)
    view.set_members(members)
    return view


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
def test_times_of_either_clock_turn_into_intervals_that_hold_the_other(skew, drift, plan, span):
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
def test_absurd_samples_are_counted_and_change_nothing(times):
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
def test_a_told_fact_s_true_age_lies_within_least_and_most(skew, drift, plan, old, way, later):
    offsets, peer = ClockOffsets(), Peer(skew, drift, 1e6)
    for call in plan:
        peer.call(offsets, *call)
    view, there = view_of("s", offsets=offsets, members=("peer",)), view_of("s")
    seen, sent = peer.now, peer.now + old
    there.record_outcome(peer.shows(seen), "s", AttemptResult.OK)
    assert view.receive_report(sent + way, "peer", there.make_report(peer.shows(sent))) is None
    now = sent + way + later
    for edge, true in (
        (server_edge(view, now, "s"), now - seen),
        (sibling_edge(view, now, "peer"), now - sent),
    ):
        least, most = edge.age
        assert least <= true + 0.01
        assert most >= true - 0.01
        assert least >= later - 0.01


def test_without_a_sample_a_told_age_has_no_bound_and_gets_one_as_it_is_told_again():
    view, there = view_of("s"), view_of("s")
    there.record_outcome(100.0, "s", AttemptResult.OK)
    view.receive_report(200.0, 7, there.make_report(150.0))
    assert server_edge(view, 260.0, "s").age == (60.0, math.inf)
    view.clock_offsets.add_sample(7, 300.0, 300.0, 300.0, 301.0)
    view.receive_report(301.0, 7, there.make_report(300.0))
    least, most = server_edge(view, 301.0, "s").age
    assert 199.0 < least < most < 204.0
    view.clock_offsets.forget(7)
    view.receive_report(302.0, 7, there.make_report(301.0))
    assert server_edge(view, 302.0, "s").age == (least + 1.0, most + 1.0)
    view.clock_offsets.add_sample(
        7, 302.0, 1002.0, 1002.0, 302.0
    )  # its clock jumped: what it says now counts
    view.receive_report(303.0, 7, there.make_report(1003.0))
    least, most = server_edge(view, 303.0, "s").age
    assert 900.0 < least < most < 904.0


def test_revisions_behind_count_from_the_newest_that_a_present_member_holds():
    view, there = view_of("s"), view_of("s")
    there.confirm_list(0.0, 5)
    view.receive_report(1.0, 7, there.make_report(1.0))
    assert server_edge(view, 1.0, "s").revisions_behind == 4
    assert sibling_edge(view, 1.0, 7).revisions_behind == 0
    view.set_members(())
    assert server_edge(view, 1.0, "s").revisions_behind == 0


def test_a_share_is_bounded_and_tells_new_failures_first_and_all_servers_in_turn():
    names = [f"s{at}" for at in range(200)]
    there = view_of(*names)
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


def test_what_siblings_tell_is_bounded_by_the_list_and_the_members():
    members = tuple(range(20))
    view, there = view_of("s", "t", members=members), view_of("s", "t", "unlisted")
    for name in ("s", "t", "unlisted"):
        there.record_outcome(1.0, name, AttemptResult.OK)
    for member in members:
        view.receive_report(2.0, member, there.make_report(2.0))
    assert set(view.gossip) == {"s", "t"}
    assert {len(hearsay.by_origin) for hearsay in view.gossip.values()} == {MAX_ORIGINS}
    assert view.receive_report(2.0, "stranger", there.make_report(2.0)) is ReportRejection.UNKNOWN_MEMBER
    view.confirm_list(3.0, 2, ("t",))
    view.record_outcome(3.0, "s", AttemptResult.OK)  # an attempt that outlived its server's line
    assert set(view.gossip) == {"t"}
    assert not view.observations


def test_a_share_that_comes_late_or_from_the_future_is_not_taken_and_a_forged_count_does_not_last():
    view, there = view_of("s"), view_of("s")
    view.clock_offsets.add_sample(7, 0.0, 0.0, 0.0, 0.0)
    first, second = there.make_report(1.0), there.make_report(2.0)
    assert view.receive_report(3.0, 7, second) is None
    assert view.receive_report(3.0, 7, first) is ReportRejection.OUT_OF_ORDER
    age = sibling_edge(view, 9.0, 7).age
    assert (view.receive_report(9.0, 7, second), sibling_edge(view, 9.0, 7).age) == (
        None,
        age,
    )  # by another call
    assert view.receive_report(3.0, 7, there.make_report(500.0)) is ReportRejection.FROM_FUTURE
    assert view.clock_offsets.offset(7, 3.0) is None
    assert view.receive_report(4.0, 7, msgspec.msgpack.encode([1, 2**53, 4.0, 1, None, [], []])) is None
    assert view.receive_report(5.0, 7, there.make_report(5.0)) is None
    assert (view.counts.rejected, view.counts.accepted) == (
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
def test_an_entry_that_is_absurd_in_one_place_is_garbage(entry):
    view = view_of("s")
    assert view.receive_report(1.0, 7, msgspec.msgpack.encode(good())) is None
    assert view.receive_report(1.0, 7, msgspec.msgpack.encode(entry)) is ReportRejection.MALFORMED
    assert view.counts.rejected[ReportRejection.MALFORMED] == 1
    assert view.gossip["s"].by_origin[7].load == 0.5


@example(b"\x91" * 60_000)
@example(bytes(70_000))
@given(st.binary(max_size=200) | st.none() | st.text() | st.integers())
def test_any_other_payload_is_garbage_too(payload):
    assert view_of("s").receive_report(1.0, 7, payload) is ReportRejection.MALFORMED


class Ticker:
    """A view of one server "s", with marks updated every 30 ms."""

    def __init__(self) -> None:
        self.view, self.now, self.last, self.stand = view_of("s"), 0.0, 0.0, "attached"
        self.marks = ConfidenceTracker(self.view, P, EVERY, round_ms=1000.0)
        self.changes: list[Confidence] = []

    @property
    def mark(self) -> Confidence:
        return self.marks.levels["s"]

    def run(self, span: float, gap: float = math.inf) -> None:
        """Let time pass, with a call that ends so `gap` ms after the last."""
        end = self.now + span
        while self.now < end:
            while self.last + gap <= self.now:
                self.last += gap
                self.view.record_outcome(self.last, "s", AttemptResult.OK)
            self.view.confirm_list(self.now, 1)
            self.changes += self.marks.update(self.now, self.stand).values()
            self.now += EVERY

    def reason(self) -> object:
        return self.marks.edge_statuses(self.now)[0].reason


def test_a_route_rises_step_by_step_on_steady_answers_and_falls_step_by_step_without():
    ticker = Ticker()
    ticker.run(EVERY)
    assert (ticker.changes, ticker.reason()) == ([Confidence.NONE], "unheard")
    ticker.run(3000.0, gap=60.0)
    assert (ticker.mark, ticker.reason()) == (Confidence.HIGH, "heard")
    ticker.run(5000.0)
    assert ticker.mark is Confidence.NONE
    assert ticker.changes[-6:] == [
        Confidence.LOW,
        Confidence.MEDIUM,
        Confidence.HIGH,
        Confidence.MEDIUM,
        Confidence.LOW,
        Confidence.NONE,
    ]
    ticker.view.record_outcome(ticker.now, "s", AttemptResult.OK)
    ticker.run(EVERY)
    assert (ticker.mark, ticker.reason()) == (Confidence.LOW, "settling")


@given(st.integers(0, 2**32))
def test_no_sure_or_fair_mark_outlives_its_bound_and_none_flaps(seed):
    draw, ticker, sures, last = random.Random(seed), Ticker(), 0, -math.inf
    for _ in range(150):
        if draw.random() < 0.5:
            ticker.view.record_outcome(
                ticker.now,
                "s",
                draw.choice(
                    [AttemptResult.OK, AttemptResult.OK, AttemptResult.REJECTED, AttemptResult.RESET]
                ),
            )
        before = ticker.mark if ticker.changes else Confidence.NONE
        ticker.run(draw.choice([EVERY, EVERY, 8 * EVERY]))
        age = ticker.now - ticker.view.observations["s"].answered_at if ticker.view.observations else math.inf
        assert ticker.mark is not Confidence.HIGH or age <= MAX_AGE_PERIODS[0] * P
        assert ticker.mark is not Confidence.MEDIUM or age <= MAX_AGE_PERIODS[1] * P
        if ticker.mark is Confidence.HIGH and before is not Confidence.HIGH:
            assert ticker.now - last >= MAX_AGE_PERIODS[0] * P
            last, sures = ticker.now, sures + 1


@pytest.mark.parametrize(("bound", "better"), [(0, Confidence.HIGH), (1, Confidence.MEDIUM)])
def test_answers_at_intervals_around_a_bound_do_not_make_a_mark_flap(bound, better):
    ticker = Ticker()
    for times in (0.9, 1.1):  # of the bound
        ticker.run(8000.0, gap=times * MAX_AGE_PERIODS[bound] * P)
        ticker.changes.clear()
        ticker.run(20_000.0, gap=times * MAX_AGE_PERIODS[bound] * P)
        assert ticker.changes == []
        assert ticker.mark is not better
    ticker.run(8000.0, gap=0.5 * RISE_AGE_RATIO * MAX_AGE_PERIODS[bound] * P)
    assert ticker.mark is better


def test_failed_calls_lower_a_mark_at_once_and_one_alone_does_not():
    ticker = Ticker()
    ticker.run(3000.0, gap=EVERY)
    ticker.changes.clear()
    for outcome in (AttemptResult.RESET, AttemptResult.OK, *[AttemptResult.ERROR] * 5):
        ticker.view.record_outcome(ticker.now, "s", outcome)
        ticker.run(EVERY)
    assert ticker.changes == [Confidence.MEDIUM, Confidence.LOW]
    assert ticker.reason() == "missing"


@pytest.mark.parametrize(("stand", "mark"), [("adrift", Confidence.MEDIUM), ("alone", Confidence.LOW)])
def test_a_stand_lowers_marks_only_once_it_lasts(stand, mark):
    ticker = Ticker()
    ticker.run(3000.0, gap=EVERY)
    ticker.changes.clear()
    for ticker.stand in (stand, "attached") * 4:
        ticker.run(SUSTAINED_PERIODS * P / 2, gap=EVERY)
    assert ticker.changes == []
    ticker.stand = stand
    ticker.run(2 * SUSTAINED_PERIODS * P, gap=EVERY)
    assert (ticker.mark, ticker.reason()) == (mark, stand)


def test_a_sibling_s_answers_make_a_route_fair_and_its_failures_lower_a_sure_one():
    ticker = Ticker()
    ticker.view.clock_offsets.add_sample(7, 0.0, 0.0, 0.0, 0.0)
    there = view_of("s")
    alone, shared = (math.inf, Confidence.MEDIUM, "told"), (4 * EVERY, Confidence.HIGH, "heard")
    for gap, mark, why in (alone, shared, alone, shared):
        for _ in range(60):
            there.record_outcome(ticker.now - 5.0, "s", AttemptResult.OK)
            ticker.view.receive_report(ticker.now, 7, there.make_report(ticker.now - 1.0))
            ticker.run(EVERY, gap)
        assert (ticker.mark, ticker.reason()) == (mark, why)
    there.record_outcome(ticker.now, "s", AttemptResult.CONNECT_FAILED)
    ticker.view.receive_report(ticker.now + 20.0, 7, there.make_report(ticker.now + 20.0))
    ticker.now += EVERY
    ticker.run(EVERY)
    assert (ticker.mark, ticker.reason()) == (Confidence.MEDIUM, "missing-for-sibling")


def test_an_old_list_or_one_far_behind_lowers_marks():
    ticker = Ticker()
    ticker.run(3000.0, gap=EVERY)
    there = view_of("s")
    there.confirm_list(0.0, 4)
    ticker.view.receive_report(ticker.now, 7, there.make_report(1.0))
    ticker.run(300.0, gap=EVERY)
    assert (ticker.mark, ticker.reason()) == (Confidence.MEDIUM, "behind")
    ticker.view.set_members(())
    ticker.run(600.0, gap=EVERY)
    assert ticker.mark is Confidence.HIGH
    at = ticker.now + 7000.0
    ticker.view.record_outcome(at, "s", AttemptResult.OK)
    ticker.marks.update(at, "attached")
    ticker.view.record_outcome(at + 200.0, "s", AttemptResult.OK)
    assert ticker.marks.update(at + 200.0, "attached") == {"s": Confidence.MEDIUM}


def test_the_status_shows_every_edge():
    ticker = Ticker()
    ticker.run(EVERY)
    ticker.view.record_outcome(0.0, "s", AttemptResult.OK)
    row, sibling = ticker.marks.edge_statuses(ticker.now)
    assert (row.target, row.least_ms, row.most_ms) == ("s", EVERY, EVERY)
    assert (sibling.kind, sibling.confidence.value, sibling.most_ms, sibling.reason) == (
        "sibling",
        "blind",
        None,
        "unheard",
    )
