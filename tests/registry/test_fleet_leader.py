"""`FleetLeader` before it leads: the reason it reports, and the failing start of a replaced leader."""

from __future__ import annotations

import asyncio
from pathlib import Path

import pytest
import structlog

from loadbalancer.registry.clock_file import ClockFile, ProcessClocks
from loadbalancer.registry.errors import LeaderReplacedError
from loadbalancer.registry.fleet_catalog import FleetCatalog
from loadbalancer.registry.fleet_leader import FleetLeader
from loadbalancer.registry.service_clock import ServiceClock
from loadbalancer.registry.settings import MemberSettings
from tests.support.fake_raft import FakeRaft, commit

TTL_MS = 60_000


def make_leader(folder: Path) -> tuple[FakeRaft, FleetCatalog, FleetLeader]:
    clocks, clock, raft = ProcessClocks(0.0), ServiceClock(), FakeRaft()
    fleet = FleetCatalog(clock, clocks.monotonic_ms, lambda groups: None)
    fleet._syncObj = raft

    file = ClockFile(folder, clocks)
    settings = MemberSettings(ttl_ms=TTL_MS)
    log = structlog.stdlib.get_logger()
    return raft, fleet, FleetLeader(settings, "127.0.0.1:1", fleet, clock, file, commit, log)


def test_follower_reports_missing_leader_or_leader_before_its_term(tmp_path: Path) -> None:
    raft, _, leader = make_leader(tmp_path)
    assert leader.unavailable_reason() == "no leader in reach"
    raft.leader = "127.0.0.1:2"
    assert leader.unavailable_reason() == "the leader has not begun its term"


def test_starting_leader_reports_missing_quorum_or_service_time(tmp_path: Path) -> None:
    raft, fleet, leader = make_leader(tmp_path)
    fleet.leader_term = 1
    raft.hasQuorum = False
    assert leader.unavailable_reason() == "the leader has no quorum"
    raft.hasQuorum = True
    assert leader.unavailable_reason() == "the leader begins its term"
    fleet.state.log_ms = 5.0  # the log contains service time, but this instance has no bound on it

    async def main() -> str:
        starting = asyncio.create_task(leader._start_term(1))
        await asyncio.sleep(0.01)
        reason = leader.unavailable_reason()
        starting.cancel()
        await asyncio.wait([starting])
        return reason

    assert asyncio.run(main()).startswith(
        "the leader waits for service time: leases given before it led end in "
    )
    assert leader.unavailable_reason() == "the leader begins its term"


def test_replaced_leader_does_not_start_term(tmp_path: Path) -> None:
    _, fleet, leader = make_leader(tmp_path)
    fleet.lead(0.0, 2, "127.0.0.1:2", None, 1_000.0, 50.0, _doApply=True)
    fleet.leader_term = 1
    with pytest.raises(LeaderReplacedError):
        asyncio.run(leader._start_term(1))
    assert not leader.is_leading
