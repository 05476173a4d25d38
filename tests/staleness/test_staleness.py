"""Staleness: bounds of clock offsets and ages, confidence levels, and strict decoding of reports."""

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

PERIOD_MS, UPDATE_MS = 15.0, 30.0
delays = st.floats(0.0, 500.0)
call_lists = st.lists(st.tuples(st.floats(0.0, 20_000.0), delays, delays, delays), min_size=1, max_size=24)
skews = st.floats(-2000.0, 2000.0) | st.floats(1.7e12, 1.8e12)
drifts = st.floats(-MAX_DRIFT_PPM, MAX_DRIFT_PPM).map(lambda ppm: ppm / 1e6)


class Peer:
    """A peer whose clock has a skew and a constant drift from local time; `now` is the local time."""

    def __init__(self, skew: float, drift: float, start: float) -> None:
        self.skew, self.drift, self.start, self.now = skew, drift, start, start

    def shows(self, local: float) -> float:
        return local + self.skew + (local - self.start) * self.drift

    def call(
        self, offsets: ClockOffsets, wait: float, outbound: float, processing: float, inbound: float
    ) -> bool:
        """Make a call `wait` ms after the last one and add its times as a sample."""
        t1 = self.now + wait
        self.now = t1 + outbound + processing + inbound
        times = (self.shows(t1 + outbound), self.shows(t1 + outbound + processing))
        return offsets.add_sample("peer", t1, *times, self.now)


def table_of(
    *servers: str, offsets: ClockOffsets | None = None, members: tuple[int, ...] = (7,)
) -> FreshnessTable:
    table = FreshnessTable(offsets or ClockOffsets())
    table.confirm_list(0.0, 1, servers)
    table.set_members(members)
    return table


@given(skews, drifts, st.floats(0.0, 1e9), call_lists, st.floats(0.0, 1e5))
def test_offset_interval_contains_true_offset(skew, drift, start, calls, later):
    offsets, peer = ClockOffsets(), Peer(skew, drift, start)
    for wait, outbound, processing, inbound in calls:
        assert peer.call(offsets, wait, outbound, processing, inbound)
        for now in (peer.now, peer.now + later):
            low, high = offsets.offset("peer", now)
            assert low <= peer.shows(now) - now <= high
            # The interval may widen by the maximum drift and by the peer's true drift.
            drift_ms = 3.2 * MAX_DRIFT_PPM / 1e6 * (now - peer.now + outbound + processing + inbound)
            assert high - low <= outbound + inbound + drift_ms + 0.1
    assert offsets.rejections.clock_jumps == offsets.rejections.invalid == 0


@given(skews, drifts, call_lists, st.floats(-1e5, 1e5))
def test_converted_time_interval_contains_true_time(skew, drift, calls, span):
    offsets, peer = ClockOffsets(), Peer(skew, drift, 1e6)
    for call in calls:
        peer.call(offsets, *call)
    now, local = peer.now + 10.0, peer.now + span
    low, high = offsets.to_local("peer", now, peer.shows(local))
    assert low <= local <= high
    low, high = offsets.to_peer("peer", now, local)
    assert low <= peer.shows(local) <= high


def test_clock_jump_drops_earlier_samples_and_is_counted_once():
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
def test_single_outlier_displaces_no_other_sample(samples, off):
    offsets, peer = ClockOffsets(), Peer(0.0, 0.0, 0.0)
    for _ in range(samples):
        peer.call(offsets, 100.0, 5.0, 1.0, 5.0)
    offsets.add_sample("peer", peer.now, peer.now + off + 4.0, peer.now + off + 5.0, peer.now + 10.0)
    peer.now += 10.0
    low, high = offsets.offset("peer", peer.now)
    assert low <= 0.0 <= high  # the outlier may be right, so the interval contains both offsets
    assert low <= off <= high
    peer.call(offsets, 100.0, 5.0, 1.0, 5.0)
    low, high = offsets.offset("peer", peer.now)
    assert low <= 0.0 <= high
    assert high - low < 11.0
    assert (offsets.rejections.outliers, offsets.rejections.clock_jumps) == (1, 0)


def test_outliers_that_contradict_each_other_displace_no_sample():
    offsets, peer = ClockOffsets(), Peer(0.0, 0.0, 0.0)
    for _ in range(MAX_SAMPLES):
        peer.call(offsets, 100.0, 5.0, 1.0, 5.0)
    for off in (-5000.0, 3000.0, -700.0):
        offsets.add_sample("peer", peer.now, peer.now + off + 4.0, peer.now + off + 5.0, peer.now + 10.0)
        peer.now += 10.0
        low, high = offsets.offset("peer", peer.now)
        assert low <= 0.0 <= high
    assert (offsets.rejections.outliers, offsets.rejections.clock_jumps) == (3, 0)


def test_outlier_sample_from_older_ack_does_not_understate_age():
    """An ack of an earlier probe is matched to a later call, which gives a sample with too old a peer time.

    If that sample were trusted, the sibling's observations would appear more recent than they are.
    """
    table, sibling = table_of("s"), table_of("s")
    for at in (100.0, 200.0):
        table.clock_offsets.add_sample(7, at, at, at, at + 1.0)
    sibling.record_outcome(100.0, "s", AttemptResult.OK)
    table.clock_offsets.add_sample(7, 900.0, 210.0, 210.0, 901.0)
    table.receive_report(901.0, 7, sibling.make_report(200.0))
    min_age, max_age = server_edge(table, 901.0, "s").age
    assert min_age <= 801.0 <= max_age


@pytest.mark.parametrize(
    "times",
    [
        (10.0, 0.0, 0.0, 9.0),  # response arrives before the call is sent
        (0.0, 5.0, 4.0, 9.0),  # responded to before it is received
        (0.0, 0.0, 20.0, 10.0),  # processed for longer than the call took
        (0.0, math.nan, 0.0, 1.0),
        (0.0, 10**400, 10**400, 1.0),
        (0.0, 0.0, 0.0, 1e6),
        (0.0, "0", None, 1.0),
    ],
)
def test_invalid_sample_is_counted_and_changes_nothing(times):
    offsets = ClockOffsets()
    assert offsets.add_sample("peer", 0.0, 0.0, 0.0, 0.0)
    before = offsets.offset("peer", 0.0)
    assert not offsets.add_sample("peer", *times)
    assert offsets.rejections.invalid == 1
    assert offsets.offset("peer", 0.0) == before


def test_peer_sampled_longest_ago_is_dropped_at_limit():
    offsets = ClockOffsets()
    for peer in range(MAX_PEERS):
        offsets.add_sample(peer, 0.0, 0.0, 0.0, 0.0)
    offsets.add_sample(0, 1.0, 1.0, 1.0, 1.0)
    offsets.add_sample("one more", 1.0, 1.0, 1.0, 1.0)
    assert offsets.offset(0, 1.0)
    assert offsets.offset(1, 1.0) is None


@given(skews, drifts, call_lists, st.floats(0.0, 5000.0), delays, st.floats(0.0, 5000.0))
def test_reported_age_interval_contains_true_age(skew, drift, calls, old, delay, later):
    offsets, peer = ClockOffsets(), Peer(skew, drift, 1e6)
    for call in calls:
        peer.call(offsets, *call)
    table, sibling = table_of("s", offsets=offsets, members=("peer",)), table_of("s")
    observed, sent = peer.now, peer.now + old
    sibling.record_outcome(peer.shows(observed), "s", AttemptResult.OK)
    assert table.receive_report(sent + delay, "peer", sibling.make_report(peer.shows(sent))) is None
    now = sent + delay + later
    for edge, true_age in (
        (server_edge(table, now, "s"), now - observed),
        (sibling_edge(table, now, "peer"), now - sent),
    ):
        min_age, max_age = edge.age
        assert min_age <= true_age + 0.01
        assert max_age >= true_age - 0.01
        assert min_age >= later - 0.01


def test_reported_age_is_unbounded_until_clock_sample_and_next_report():
    table, sibling = table_of("s"), table_of("s")
    sibling.record_outcome(100.0, "s", AttemptResult.OK)
    table.receive_report(200.0, 7, sibling.make_report(150.0))
    assert server_edge(table, 260.0, "s").age == (60.0, math.inf)
    table.clock_offsets.add_sample(7, 300.0, 300.0, 300.0, 301.0)
    table.receive_report(301.0, 7, sibling.make_report(300.0))
    min_age, max_age = server_edge(table, 301.0, "s").age
    assert 199.0 < min_age < max_age < 204.0
    table.clock_offsets.forget(7)
    table.receive_report(302.0, 7, sibling.make_report(301.0))
    assert server_edge(table, 302.0, "s").age == (min_age + 1.0, max_age + 1.0)
    # After a jump of the sibling's clock, the age follows from the next report.
    table.clock_offsets.add_sample(7, 302.0, 1002.0, 1002.0, 302.0)
    table.receive_report(303.0, 7, sibling.make_report(1003.0))
    min_age, max_age = server_edge(table, 303.0, "s").age
    assert 900.0 < min_age < max_age < 904.0


def test_revisions_behind_is_relative_to_newest_list_of_current_members():
    table, sibling = table_of("s"), table_of("s")
    sibling.confirm_list(0.0, 5)
    table.receive_report(1.0, 7, sibling.make_report(1.0))
    assert server_edge(table, 1.0, "s").revisions_behind == 4
    assert sibling_edge(table, 1.0, 7).revisions_behind == 0
    table.set_members(())
    assert server_edge(table, 1.0, "s").revisions_behind == 0


def test_report_has_failures_first_and_rotates_through_all_servers():
    names = [f"s{at}" for at in range(200)]
    sibling = table_of(*names)
    for at, name in enumerate(names):
        sibling.record_outcome(float(at), name, AttemptResult.RESET if name == "s3" else AttemptResult.OK)
    reported: set[str] = set()
    for _ in range(math.ceil(200 / MAX_ROTATED)):
        observations = msgspec.msgpack.decode(sibling.make_report(300.0))[6]
        assert len(observations) <= MAX_FLIPPED + MAX_RECENT + MAX_ROTATED
        assert observations[0][0] == "s3"
        assert observations[1][0] == "s199"
        reported.update(observation[0] for observation in observations)
    assert reported == set(names)


def test_retained_reports_are_bounded_by_listed_servers_and_members():
    members = tuple(range(20))
    table, sibling = table_of("s", "t", members=members), table_of("s", "t", "unlisted")
    for name in ("s", "t", "unlisted"):
        sibling.record_outcome(1.0, name, AttemptResult.OK)
    for member in members:
        table.receive_report(2.0, member, sibling.make_report(2.0))
    assert set(table.gossip) == {"s", "t"}
    assert {len(reports.by_origin) for reports in table.gossip.values()} == {MAX_ORIGINS}
    assert table.receive_report(2.0, "unknown", sibling.make_report(2.0)) is ReportRejection.UNKNOWN_MEMBER
    table.confirm_list(3.0, 2, ("t",))
    table.record_outcome(3.0, "s", AttemptResult.OK)  # the attempt ends after its server was removed
    assert set(table.gossip) == {"t"}
    assert not table.observations


def test_out_of_order_and_future_reports_are_rejected_with_reason():
    table, sibling = table_of("s"), table_of("s")
    table.clock_offsets.add_sample(7, 0.0, 0.0, 0.0, 0.0)
    first, second = sibling.make_report(1.0), sibling.make_report(2.0)
    assert table.receive_report(3.0, 7, second) is None
    assert table.receive_report(3.0, 7, first) is ReportRejection.OUT_OF_ORDER
    age = sibling_edge(table, 9.0, 7).age
    # The same report in another call is accepted and changes nothing.
    assert (table.receive_report(9.0, 7, second), sibling_edge(table, 9.0, 7).age) == (None, age)
    assert table.receive_report(3.0, 7, sibling.make_report(500.0)) is ReportRejection.FROM_FUTURE
    assert table.clock_offsets.offset(7, 3.0) is None
    # A forged highest sequence number does not cause the sibling's later reports to be rejected.
    assert table.receive_report(4.0, 7, msgspec.msgpack.encode([1, 2**53, 4.0, 1, None, [], []])) is None
    assert table.receive_report(5.0, 7, sibling.make_report(5.0)) is None
    assert (table.counts.rejected, table.counts.accepted) == (
        {ReportRejection.OUT_OF_ORDER: 1, ReportRejection.FROM_FUTURE: 1},
        4,
    )


def valid_report() -> list[object]:
    return [1, 9, 1.0, 1, 0.0, [["", 0.0, 1.0, 2, 3.0]], [["s", 1, 0.5, "ok", 0.5, 0.5, 0.5]]]


def report_with(path: tuple[int, ...], value: object) -> list[object]:
    """Return a valid report with `value` at the position given by the indices in `path`."""
    report = parent = valid_report()
    for index in path[:-1]:
        parent = parent[index]
    parent[path[-1]] = value
    return report


@pytest.mark.parametrize(
    "report",
    [
        report_with((0,), 2),
        report_with((2,), math.nan),
        report_with((3,), 2**60),
        report_with((4,), 1.5),  # confirmed after the report was sent
        report_with((5, 0, 4), math.nan),
        report_with((5,), [["", 0.0, 1.0, 2, 3.0]] * 9),
        report_with((6, 0, 0), "x" * 257),
        report_with((6, 0, 3), "perhaps"),
        report_with((6, 0, 4), 1.5),
        report_with((6, 0, 5), math.nan),
        report_with((6, 0, 6), None),
        report_with((6,), [["s", 1, 0.5, "ok", 0.5, 0.5, 0.5]] * 65),
        [*valid_report(), "more"],
    ],
)
def test_report_with_one_invalid_field_is_malformed(report):
    table = table_of("s")
    assert table.receive_report(1.0, 7, msgspec.msgpack.encode(valid_report())) is None
    assert table.receive_report(1.0, 7, msgspec.msgpack.encode(report)) is ReportRejection.MALFORMED
    assert table.counts.rejected[ReportRejection.MALFORMED] == 1
    assert table.gossip["s"].by_origin[7].load == 0.5


@example(b"\x91" * 60_000)
@example(bytes(70_000))
@given(st.binary(max_size=200) | st.none() | st.text() | st.integers())
def test_payload_that_is_no_report_is_malformed(payload):
    assert table_of("s").receive_report(1.0, 7, payload) is ReportRejection.MALFORMED


class Ticker:
    """A table with one server, "s", whose confidence is updated every UPDATE_MS."""

    def __init__(self) -> None:
        self.table, self.now, self.last_response, self.connectivity = table_of("s"), 0.0, 0.0, "attached"
        self.tracker = ConfidenceTracker(self.table, PERIOD_MS, UPDATE_MS, round_ms=1000.0)
        self.changes: list[Confidence] = []

    @property
    def level(self) -> Confidence:
        return self.tracker.levels["s"]

    def run(self, span: float, gap: float = math.inf) -> None:
        """Advance time by `span` ms, with a response of the server every `gap` ms."""
        end = self.now + span
        while self.now < end:
            while self.last_response + gap <= self.now:
                self.last_response += gap
                self.table.record_outcome(self.last_response, "s", AttemptResult.OK)
            self.table.confirm_list(self.now, 1)
            self.changes += self.tracker.update(self.now, self.connectivity).values()
            self.now += UPDATE_MS

    def reason(self) -> object:
        return self.tracker.edge_statuses(self.now)[0].reason


def test_confidence_rises_and_falls_one_level_at_a_time():
    ticker = Ticker()
    ticker.run(UPDATE_MS)
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
    ticker.run(UPDATE_MS)
    assert (ticker.level, ticker.reason()) == (Confidence.LOW, "settling")


@given(st.integers(0, 2**32))
def test_level_does_not_outlive_its_maximum_age_or_flap(seed):
    rng, ticker, high_count, last_high = random.Random(seed), Ticker(), 0, -math.inf
    for _ in range(150):
        if rng.random() < 0.5:
            ticker.table.record_outcome(
                ticker.now,
                "s",
                rng.choice([AttemptResult.OK, AttemptResult.OK, AttemptResult.REJECTED, AttemptResult.RESET]),
            )
        before = ticker.level if ticker.changes else Confidence.NONE
        ticker.run(rng.choice([UPDATE_MS, UPDATE_MS, 8 * UPDATE_MS]))
        age = (
            ticker.now - ticker.table.observations["s"].responded_at
            if ticker.table.observations
            else math.inf
        )
        assert ticker.level is not Confidence.HIGH or age <= MAX_AGE_PERIODS[0] * PERIOD_MS
        assert ticker.level is not Confidence.MEDIUM or age <= MAX_AGE_PERIODS[1] * PERIOD_MS
        if ticker.level is Confidence.HIGH and before is not Confidence.HIGH:
            assert ticker.now - last_high >= MAX_AGE_PERIODS[0] * PERIOD_MS
            last_high, high_count = ticker.now, high_count + 1


@pytest.mark.parametrize(("bound", "better"), [(0, Confidence.HIGH), (1, Confidence.MEDIUM)])
def test_responses_at_intervals_around_a_limit_do_not_cause_flapping(bound, better):
    ticker = Ticker()
    for ratio in (0.9, 1.1):  # of the maximum age
        ticker.run(8000.0, gap=ratio * MAX_AGE_PERIODS[bound] * PERIOD_MS)
        ticker.changes.clear()
        ticker.run(20_000.0, gap=ratio * MAX_AGE_PERIODS[bound] * PERIOD_MS)
        assert ticker.changes == []
        assert ticker.level is not better
    ticker.run(8000.0, gap=0.5 * RISE_AGE_RATIO * MAX_AGE_PERIODS[bound] * PERIOD_MS)
    assert ticker.level is better


def test_consecutive_failures_lower_level_at_once_single_failure_does_not():
    ticker = Ticker()
    ticker.run(3000.0, gap=UPDATE_MS)
    ticker.changes.clear()
    for outcome in (AttemptResult.RESET, AttemptResult.OK, *[AttemptResult.ERROR] * 5):
        ticker.table.record_outcome(ticker.now, "s", outcome)
        ticker.run(UPDATE_MS)
    assert ticker.changes == [Confidence.MEDIUM, Confidence.LOW]
    assert ticker.reason() == "missing"


@pytest.mark.parametrize(
    ("connectivity", "level"), [("adrift", Confidence.MEDIUM), ("alone", Confidence.LOW)]
)
def test_lost_connectivity_lowers_level_only_if_sustained(connectivity, level):
    ticker = Ticker()
    ticker.run(3000.0, gap=UPDATE_MS)
    ticker.changes.clear()
    for ticker.connectivity in (connectivity, "attached") * 4:
        ticker.run(SUSTAINED_PERIODS * PERIOD_MS / 2, gap=UPDATE_MS)
    assert ticker.changes == []
    ticker.connectivity = connectivity
    ticker.run(2 * SUSTAINED_PERIODS * PERIOD_MS, gap=UPDATE_MS)
    assert (ticker.level, ticker.reason()) == (level, connectivity)


def test_sibling_report_supports_medium_and_sibling_failure_lowers_high():
    ticker = Ticker()
    ticker.table.clock_offsets.add_sample(7, 0.0, 0.0, 0.0, 0.0)
    sibling = table_of("s")
    reports, responses = (math.inf, Confidence.MEDIUM, "told"), (4 * UPDATE_MS, Confidence.HIGH, "heard")
    for gap, level, reason in (reports, responses, reports, responses):
        for _ in range(60):
            sibling.record_outcome(ticker.now - 5.0, "s", AttemptResult.OK)
            ticker.table.receive_report(ticker.now, 7, sibling.make_report(ticker.now - 1.0))
            ticker.run(UPDATE_MS, gap)
        assert (ticker.level, ticker.reason()) == (level, reason)
    sibling.record_outcome(ticker.now, "s", AttemptResult.CONNECT_FAILED)
    ticker.table.receive_report(ticker.now + 20.0, 7, sibling.make_report(ticker.now + 20.0))
    ticker.now += UPDATE_MS
    ticker.run(UPDATE_MS)
    assert (ticker.level, ticker.reason()) == (Confidence.MEDIUM, "missing-for-sibling")


def test_outdated_or_unconfirmed_endpoint_list_lowers_level():
    ticker = Ticker()
    ticker.run(3000.0, gap=UPDATE_MS)
    sibling = table_of("s")
    sibling.confirm_list(0.0, 4)
    ticker.table.receive_report(ticker.now, 7, sibling.make_report(1.0))
    ticker.run(300.0, gap=UPDATE_MS)
    assert (ticker.level, ticker.reason()) == (Confidence.MEDIUM, "behind")
    ticker.table.set_members(())
    ticker.run(600.0, gap=UPDATE_MS)
    assert ticker.level is Confidence.HIGH
    at = ticker.now + 7000.0
    ticker.table.record_outcome(at, "s", AttemptResult.OK)
    ticker.tracker.update(at, "attached")
    ticker.table.record_outcome(at + 200.0, "s", AttemptResult.OK)
    assert ticker.tracker.update(at + 200.0, "attached") == {"s": Confidence.MEDIUM}


def test_status_lists_every_edge():
    ticker = Ticker()
    ticker.run(UPDATE_MS)
    ticker.table.record_outcome(0.0, "s", AttemptResult.OK)
    server, sibling = ticker.tracker.edge_statuses(ticker.now)
    assert (server.target, server.least_ms, server.most_ms) == ("s", UPDATE_MS, UPDATE_MS)
    assert (sibling.kind, sibling.confidence.value, sibling.most_ms, sibling.reason) == (
        "sibling",
        "blind",
        None,
        "unheard",
    )
