"""The fleet's replicated state on its own: terms, late commands, snapshots across releases."""

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

ABOUT = ("n1", "127.0.0.1:9001", "z", "s1")


class Log:
    """A catalog with its commands applied at once, as one instance that leads would."""

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


def test_what_a_replaced_leader_proposed_grants_and_ends_nothing() -> None:
    log = Log()
    assert log("enrol", 9.0, 0, *ABOUT) is None  # before any leader has begun
    log.lead(1)
    assert log("enrol", 10.0, 1, *ABOUT)[0].lease.quota == 1.0
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
    assert [row.seq for row in log.catalog.take_applied_renewals()] == [9]


def test_a_repeated_enrolment_voids_an_expiry_that_was_on_its_way() -> None:
    log = Log()
    log.lead(1)
    log("enrol", 10.0, 1, *ABOUT)
    seen = log.catalog.read(lambda state: state.repeated_enrolments)
    log("enrol", 20.0, 1, *ABOUT)  # its answer begins a lease
    assert log("expire", 21.0, 1, [(1, 0)], [1], seen) == ([], [])
    assert log("expire", 22.0, 1, [(1, 0)], [], seen + 1) == ([1], [])


def test_a_shorter_term_does_not_cut_leases_given_before_and_a_lost_clock_begins_an_epoch() -> None:
    log = Log()
    assert log.lead(1, epoch=None, ttl_ms=9_000.0).epoch == 1
    assert log.lead(2, epoch=1, ttl_ms=500.0).ttl_ms == 9_000.0
    begun = log.lead(3, epoch=None)
    assert (begun.epoch, log.lead(3, epoch=None).epoch) == (2, 2)  # said again after no answer: no other jump


def test_a_decision_is_in_the_answer_of_the_very_entry_that_brought_it() -> None:
    log = Log()
    log.lead(1)
    log("enrol", 10.0, 1, *ABOUT)
    log("propose", 11.0, 1, "neutral = true\n# again\n", 5_000.0)
    assert log("vote", 12.0, 1, 1, 1, True, "").phase == "decided"
    (told,) = log("renew_many", 13.0, 1, [(1, 1, 0, 1, 1.0)])
    assert told.routes["pending"]["at"] == 12.0 + 1_000.0 + 50.0
    assert told.lease.members is UNSET
    (told,) = log("renew_many", 1_063.0, 1, [(1, 2, 1, 0, 1.0)])
    assert told.routes["in_force"]["number"] == 1
    assert told.lease.members[0].name == "n1"


@pytest.mark.parametrize("parts", [1, 2])
def test_a_snapshot_from_before_the_fleet_is_read_and_one_of_now_brings_all_of_it(
    tmp_path: Path, parts: int
) -> None:
    old, targets = Log(), TargetCatalog(9, lambda revision: None)
    old.lead(4)
    old("enrol", 10.0, 4, *ABOUT)
    targets.put(validate_target({"uid": "s-1", "endpoint": "127.0.0.1:1"}), 5, _doApply=True)
    path = str(tmp_path / "raft.dump")
    SnapshotFile([targets, old.catalog][:parts]).write(path, (("e", 1, 1), ("e", 2, 1), set()))
    new, fresh = Log(), TargetCatalog(9, lambda revision: None)
    assert SnapshotFile([fresh, new.catalog]).read(path) == (("e", 1, 1), ("e", 2, 1), set())
    assert fresh.counts() == (1, 1, 0)
    state = new.catalog.state
    assert (state.term, len(state.ledger.records())) == ((4, 1) if parts == 2 else (-1, 0))
    assert new.changes == parts - 1
    with gzip.open(path) as file:  # pysyncobj's own layout: its part, then one for each consumer
        assert len(pickle.load(file)[0]) == 1 + parts


def test_the_clock_s_file_counts_in_one_run_of_the_machine_alone(tmp_path: Path) -> None:
    clocks = ProcessClocks(0.0)
    file = ClockFile(tmp_path, clocks)
    assert file.load() is None
    known = ClockBound(ahead_ms=7.0, read_at_ms=clocks.monotonic_ms(), epoch=3)
    file.save(known)
    assert ClockFile(tmp_path, clocks).load() == known
    assert (
        ClockFile(tmp_path, ProcessClocks(2_000.0)).load() is None
    )  # another clock, as after the machine's start
    (tmp_path / "service-clock.json").write_bytes(b'{"ahead": "x", "at": null}')
    assert ClockFile(tmp_path, clocks).load() is None
