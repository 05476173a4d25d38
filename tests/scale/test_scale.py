"""Components of the scale tests (bench/scale), and a control path run at 0.02 of the platform's size."""

from __future__ import annotations

import asyncio
import socket
from pathlib import Path

import msgspec
import pytest

from bench.scale import limits, records, sockets
from bench.scale.control import EVENTS, Plan, parse_events, run_control
from bench.scale.events import Durations
from bench.scale.histograms import Times
from bench.scale.messages import Sample
from bench.scale.platform import build_platform, read_size
from bench.scale.quotas import RealNodeQuota, sum_up
from bench.scale.records import Record, Run
from bench.scale.world import Options

FACTORS = (0.02, 0.25, 0.5, 1.0, 2.0)


@pytest.mark.parametrize("factor", FACTORS)
def test_platform_size_matches_factor(factor: float) -> None:
    size, platform = read_size(), build_platform(factor, 1)
    assert len(platform.nodes) == round(size.nodes * factor)
    assert len(platform.services) == round(size.services * factor)
    assert sum(service.nodes for service in platform.services) == len(platform.nodes)
    assert sum(edge.calls_per_s for edge in platform.edges) == pytest.approx(size.calls_per_s * factor)
    assert platform.depth() == min(size.deepest_chain, len(platform.services))
    assert {node.zone for node in platform.nodes} == set(platform.zones)
    if factor >= 0.25:
        assert platform.largest().nodes == size.largest_service


def test_platform_is_determined_by_seed() -> None:
    assert build_platform(0.25, 3) == build_platform(0.25, 3)
    assert build_platform(0.25, 3) != build_platform(0.25, 4)


def test_calls_go_from_lower_to_higher_tiers() -> None:
    platform = build_platform(0.5, 2)
    tier = {service.index: service.tier for service in platform.services}
    assert all(edge.caller is None or tier[edge.caller] < tier[edge.callee] for edge in platform.edges)


def test_factor_out_of_range_is_rejected() -> None:
    with pytest.raises(ValueError, match="factor 9"):
        build_platform(9.0, 1)


def test_record_is_read_as_written_and_never_overwritten(tmp_path: Path) -> None:
    run = Run("control", 0.02, 1, {"ttl_ms": 5_000})
    run.add("node", "cpu_percent_max", 0.4, "% of a core", "steady", 8)
    record = run.finish()
    path = records.append(record, tmp_path)
    assert [*records.read_all(tmp_path)] == [record]
    assert record.number("node", "cpu_percent_max", "steady") == 0.4
    assert record.number("node", "cpu_percent_max", "parted") is None
    with pytest.raises(FileExistsError):
        records.append(record, tmp_path)
    path.write_bytes(b'{"form": "x"}')
    with pytest.raises(ValueError, match=path.name):
        records.read(path)


def test_all_committed_records_can_be_read() -> None:
    for record in records.read_all():
        assert record.form == records.FORM
        assert record.figures


def test_quotas_are_summed_by_group_over_all_processes() -> None:
    one = [Sample(10, 1.0, {"a": 0.5, "b": 1.0}), Sample(11, 1.0, {"a": 0.5})]
    other = [Sample(10, 2.0, {"a": 0.6}), Sample(11, 2.0, {"a": 0.5})]
    sums = sum_up([one, other], [], 0.1, ["a", "b"])
    assert (sums.moments, sums.at_once) == (2, 2)
    assert (sums.max_sum, sums.max_sum_group) == (1.1, "a")
    assert (sums.over_max, sums.over_change_max) == (1, 1)
    assert sums.fraction_below_min == 0.25  # group b at the second moment


def test_late_process_counts_with_smaller_of_surrounding_samples() -> None:
    one = [Sample(tick, 0.0, {"a": 0.3}) for tick in range(10, 14)]
    other = [Sample(10, 0.0, {"a": 0.7}), Sample(12, 90.0, {"a": 0.6}), Sample(13, 0.0, {"a": 0.8})]
    sums = sum_up([one, other], [], 0.1, ["a"])
    # Ticks 11 and 12 are skewed: the other process counts with 0.6.
    assert (sums.moments, sums.at_once) == (4, 2)
    assert (sums.max_sum, sums.over_max) == (1.1, 1)


def test_real_node_counts_with_smaller_of_surrounding_polls() -> None:
    real = RealNodeQuota("a")
    real.add(0.9, 0.5)
    real.add(1.9, 0.2)
    assert sum_up([[Sample(10, 0.0, {"a": 0.6})]], [real], 0.1, ["a"]).max_sum == 0.8


def test_histograms_of_two_processes_are_merged() -> None:
    one, other = Times(), Times()
    for ms in range(1, 100):
        one.add(float(ms))
    other.add(5_000.0)
    one.merge(Times.decode(other.encode()))
    assert one.count == 100
    assert one.at(50.0) == pytest.approx(50.0, rel=0.01)
    assert one.maximum() == pytest.approx(5_000.0, rel=0.01)


def test_bytes_are_counted_by_port(tmp_path: Path) -> None:
    with socket.create_server(("127.0.0.1", 0)) as server:
        port = server.getsockname()[1]
        counter = sockets.Counter(tmp_path / "counts", {"members": port})
        with socket.create_connection(("127.0.0.1", port)) as dialled:
            counter.sent(dialled, 120)
            counter.received(dialled, 30)
    found = sockets.read(tmp_path / "counts", {"members": port})
    assert found["members"] == sockets.Traffic(bytes_in=30, bytes_out=120, receives=1, sends=1)
    assert found[sockets.OTHER] == sockets.Traffic()


def test_run_over_process_or_memory_limit_is_rejected() -> None:
    with pytest.raises(limits.TooLargeError, match="processes"):
        limits.check(limits.Plan(limits.MAX_PROCESSES + 1, 1, 1))
    with pytest.raises(limits.TooLargeError, match="MB"):
        limits.check(limits.Plan(10, 1_000_000, 1_400))


def test_parsed_events_are_in_order_of_the_run() -> None:
    assert parse_events("all") == EVENTS
    assert parse_events("none") == ()
    assert parse_events("zone,leader") == ("leader", "zone")
    with pytest.raises(ValueError, match="flood"):
        parse_events("flood")


def small_run() -> Record:
    """Run the same code as at full size; its times are not meaningful on a machine that runs other tests."""
    options = Options(
        factor=0.02,
        seed=1,
        checkout=None,
        ttl_ms=1_000,
        probes=True,
        probe_period_ms=None,
        real_nodes=2,
        real_agents=2,
        processes=2,
        relayed=True,
    )
    durations = Durations(
        start_spread=0.5, steady=2.0, hurry=60.0, event=2.0, partitioned=3.0, change_every=0.05, changes=10
    )
    plan = Plan(options, durations, ("steady", "list", "leader", "zone", "regions"), limit_s=120.0)
    return asyncio.run(run_control(plan))


def _verdicts(record: Record, phase: str) -> list[float]:
    """Return the numbers of siblings by verdict (present, failed, ...) over all hollow nodes."""
    figures = [figure for figure in record.figures if figure.name.startswith("verdict ")]
    return [float(figure.value or 0) for figure in figures if figure.phase == phase]


def test_small_control_run_keeps_quota_sums_within_1_and_settles_after_faults() -> None:
    record = small_run()
    broken = [failure for failure in record.failures if "share" in failure or ": " not in failure]
    assert not broken, broken
    assert not [failure for failure in record.failures if "Error" in failure], record.failures
    phases = [figure.phase for figure in record.figures if figure.name == "share_sum_max"]
    expected = ("enrolment", "steady", "list_changes", "leader_killed", "zone_lost", "parted", "joined")
    assert set(expected) <= set(phases)
    assert record.number("platform", "enrolled", "enrolment") == 26
    siblings = sum(service.nodes * (service.nodes - 1) for service in build_platform(0.02, 1).services)
    assert 0 < sum(_verdicts(record, "enrolment")) < siblings  # of the hollow nodes, by service
    for phase in ("settling", "zone_back", "joined"):
        assert record.number("platform", "all_settled", phase) is not None, phase
    assert record.number("platform", "changes_everywhere", "list_changes") == 10
    assert record.number("hollow", "bytes_in_mean", "steady")
    assert msgspec.json.decode(msgspec.json.encode(record), type=Record) == record
