"""`FleetCatalog` without Raft: terms, late commands, snapshots across releases."""

from __future__ import annotations

import gzip
import pickle
from pathlib import Path
from typing import Any

import pytest
from msgspec import UNSET

from loadbalancer.registry.catalog import TargetCatalog
from loadbalancer.registry.clock_file import ClockFile, ProcessClocks
from loadbalancer.registry.fleet_catalog import FleetCatalog
from loadbalancer.registry.service_clock import ClockBound, ServiceClock
from loadbalancer.registry.snapshot_file import SnapshotFile
from loadbalancer.registry.target import validate_target

IDENTITY = ("n1", "127.0.0.1:9001", "z", "s1")


class AppliedLog:
    """A catalog whose commands are applied at once, as on a leader without peers."""

    def __init__(self) -> None:
        self.changes = 0
        self.catalog = FleetCatalog(ServiceClock(), lambda: 5.0, self._changed)

    def _changed(self, groups: frozenset[str] | None) -> None:
        self.changes += 1

    def lead(self, term: int, epoch: int | None = 1, ttl_ms: float = 1_000.0) -> Any:
        self.catalog.start_answering(term)
        return self("lead", 0.0, term, f"127.0.0.1:{term}", epoch, ttl_ms, 50.0)

    def __call__(self, command: str, *args: Any) -> Any:
        return getattr(self.catalog, command)(*args, _doApply=True)


def test_commands_of_replaced_leader_change_nothing() -> None:
    log = AppliedLog()
    assert log("enrol", 9.0, 0, *IDENTITY) is None  # before any leader's term
    log.lead(1)
    assert log("enrol", 10.0, 1, *IDENTITY)[0].lease.quota == 1.0
    log.lead(3)
    late = [("renew_many", [(1, 9, 0, 1, 1.0)]), ("leave", 1), ("remove", "n1"), ("expire", [(1, 0)], [], 0)]
    assert [log(command, 99.0, 1, *args) for command, *args in late] == [None] * 4
    assert log("lead", 0.0, 2, "127.0.0.1:2", 1, 1_000.0, 50.0) is None
    state = log.catalog.state
    assert (state.log_ms, state.term, state.leader_address, state.ledger.granted_quota()) == (
        10.0,
        3,
        "127.0.0.1:3",
        1.0,
    )
    assert log("renew_many", 11.0, 3, [(1, 9, 0, 1, 1.0), (8, 1, 0, 0, 0.0)])[1] is None
    assert [renewal.seq for renewal in log.catalog.take_applied_renewals()] == [9]


def test_repeated_enrolment_voids_expiry_decided_earlier() -> None:
    log = AppliedLog()
    log.lead(1)
    log("enrol", 10.0, 1, *IDENTITY)
    repeats = log.catalog.read(lambda state: state.repeated_enrolments)
    log("enrol", 20.0, 1, *IDENTITY)  # the response to it starts a new lease
    assert log("expire", 21.0, 1, [(1, 0)], [1], repeats) == ([], [])
    assert log("expire", 22.0, 1, [(1, 0)], [], repeats + 1) == ([1], [])


def test_lead_keeps_longest_lease_term_and_begins_epoch_without_bound() -> None:
    log = AppliedLog()
    assert log.lead(1, epoch=None, ttl_ms=9_000.0).epoch == 1
    assert log.lead(2, epoch=1, ttl_ms=500.0).ttl_ms == 9_000.0
    begun = log.lead(3, epoch=None)
    # If the command is repeated in the same term, it begins no further epoch.
    assert (begun.epoch, log.lead(3, epoch=None).epoch) == (2, 2)


def test_response_shows_decision_or_activation_caused_by_its_command() -> None:
    log = AppliedLog()
    log.lead(1)
    log("enrol", 10.0, 1, *IDENTITY)
    log("propose", 11.0, 1, "neutral = true\n# again\n", 5_000.0)
    assert log("vote", 12.0, 1, 1, 1, True, "").phase == "decided"
    (grant,) = log("renew_many", 13.0, 1, [(1, 1, 0, 1, 1.0)])
    assert grant.routes["pending"]["at"] == 12.0 + 1_000.0 + 50.0
    assert grant.lease.members is UNSET
    (grant,) = log("renew_many", 1_063.0, 1, [(1, 2, 1, 0, 1.0)])
    assert grant.routes["in_force"]["number"] == 1
    assert grant.lease.members[0].name == "n1"


@pytest.mark.parametrize("parts", [1, 2])
def test_snapshot_with_or_without_fleet_part_is_restored(tmp_path: Path, parts: int) -> None:
    old, targets = AppliedLog(), TargetCatalog(9, lambda revision: None)
    old.lead(4)
    old("enrol", 10.0, 4, *IDENTITY)
    targets.put(validate_target({"uid": "s-1", "endpoint": "127.0.0.1:1"}), 5, _doApply=True)
    path = str(tmp_path / "raft.dump")
    SnapshotFile([targets, old.catalog][:parts]).write(path, (("e", 1, 1), ("e", 2, 1), set()))
    new, fresh = AppliedLog(), TargetCatalog(9, lambda revision: None)
    assert SnapshotFile([fresh, new.catalog]).read(path) == (("e", 1, 1), ("e", 2, 1), set())
    assert fresh.counts() == (1, 1, 0)
    state = new.catalog.state
    assert (state.term, len(state.ledger.records())) == ((4, 1) if parts == 2 else (-1, 0))
    assert new.changes == parts - 1
    with gzip.open(path) as file:  # pysyncobj's layout: its own part, then one per consumer
        assert len(pickle.load(file)[0]) == 1 + parts


def test_clock_file_is_ignored_after_reboot_or_if_malformed(tmp_path: Path) -> None:
    clocks = ProcessClocks(0.0)
    file = ClockFile(tmp_path, clocks)
    assert file.load() is None
    known = ClockBound(ahead_ms=7.0, read_at_ms=clocks.monotonic_ms(), epoch=3)
    file.save(known)
    assert ClockFile(tmp_path, clocks).load() == known
    # Another monotonic clock, as after a reboot.
    assert ClockFile(tmp_path, ProcessClocks(2_000.0)).load() is None
    (tmp_path / "service-clock.json").write_bytes(b'{"ahead": "x", "at": null}')
    assert ClockFile(tmp_path, clocks).load() is None
