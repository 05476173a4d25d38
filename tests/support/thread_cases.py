"""Cases for tests/test_threads.py, run one at a time as `frontrun python -m tests.support.thread_cases NAME`,
so that frontrun can replace locks and file operations. Each prints one line of JSON: how many interleavings
were explored, whether the invariant held in all of them, and frontrun's explanation of the first violation.

A NAME that ends in `-faulty` runs the same threads with a seeded fault.
"""

from __future__ import annotations

import sys
import tempfile
from collections.abc import Callable
from contextlib import nullcontext
from pathlib import Path
from typing import Any

import frontrun
import orjson

from loadbalancer.node.control.route_store import RouteStore
from loadbalancer.node.state import frame
from loadbalancer.node.state.state_file import StateFile
from loadbalancer.registry.catalog import TargetCatalog
from loadbalancer.registry.fleet_catalog import FleetCatalog
from loadbalancer.registry.fleet_results import AppliedRenewal
from loadbalancer.registry.service_clock import ServiceClock
from loadbalancer.registry.target_list import ListPage

MAX_INTERLEAVINGS = 1_000  # of a case


class Targets:
    """Raft's thread changes the target catalog; an HTTP request reads it, a watcher reads the changes."""

    def __init__(self, faulty: bool) -> None:
        self.notified: list[int] = []
        self.catalog = TargetCatalog(1, self.notified.append)
        self.put("a")
        self.seen: ListPage | None = None
        self.changes: ListPage | None = None
        if faulty:
            self.catalog._lock = nullcontext()

    def put(self, uid: str) -> None:
        self.catalog.put({"uid": uid, "endpoint": "127.0.0.1:1", "state": "Ready"}, 0, _doApply=True)

    def raft(self) -> None:
        self.put("b")
        self.catalog.remove("a", 0, _doApply=True)

    def http_read(self) -> None:
        self.seen = self.catalog.page(None)

    def watcher(self) -> None:
        self.changes = self.catalog.page(1)

    def holds(self) -> bool:
        """Each page shows exactly the state at its revision: no partial change and none missing."""
        assert self.seen is not None
        assert self.changes is not None
        targets = {1: ["a"], 2: ["a", "b"], 3: ["b"]}
        since = {1: [], 2: [("b", "Ready")], 3: [("b", "Ready"), ("a", "Gone")]}
        changes = [(row["uid"], row["state"]) for row in self.changes.targets]
        seen = sorted(row["uid"] for row in self.seen.targets)
        return (
            seen == targets[self.seen.revision]
            and changes == since[self.changes.revision]
            and self.notified == [1, 2, 3]
        )


class Members:
    """Raft's thread applies a renewal and an enrolment; the leader takes renewals, an HTTP request reads."""

    def __init__(self, faulty: bool) -> None:
        self.fleet = FleetCatalog(ServiceClock(), lambda: 0.0, lambda groups: None)
        self.fleet.lead(0.0, 1, "", 0, 1000.0, 50.0, _doApply=True)
        self.fleet.start_answering(1)
        self.enrol("n0")
        self.taken: list[AppliedRenewal] = []
        self.seen: dict[str, Any] = {}
        if faulty:
            self.fleet._lock = nullcontext()

    def enrol(self, name: str) -> None:
        self.fleet.enrol(1.0, 1, name, f"{name}:1", "", name, _doApply=True)

    def raft(self) -> None:
        self.fleet.renew_many(2.0, 1, [(1, 1, 0, 1, 0.5)], _doApply=True)
        self.enrol("n1")

    def leader(self) -> None:
        self.taken += self.fleet.take_applied_renewals()

    def http_read(self) -> None:
        self.seen = self.fleet.members()

    def holds(self) -> bool:
        """Each renewal is taken once; a read shows the state between two commands of the log."""
        taken = [
            (renewal.incarnation, renewal.seq)
            for renewal in (*self.taken, *self.fleet.take_applied_renewals())
        ]
        rows = [(row["name"], row["seq"], row["share"]) for row in self.seen["members"]]
        before, renewed = [("n0", 0, 1.0)], [("n0", 1, 1.0)]
        states = [(1, 1.0, before), (1, 2.0, renewed), (2, 2.0, [*renewed, ("n1", 0, 0.0)])]
        return taken == [(1, 0), (1, 1), (2, 0)] and (self.seen["rev"], self.seen["log_ms"], rows) in states


class WriteDuringStop:
    """A thread writes the state file while the node stops; the next process, which waits for the lock, then
    writes a newer one."""

    def __init__(self, faulty: bool) -> None:
        path = Path(tempfile.mkdtemp()) / "state"
        self.old, self.next = StateFile(path), StateFile(path)
        self.locked = self.old.acquire_lock()
        self.rejected = False
        if faulty:
            self.old._write_lock = nullcontext()

    def write(self) -> None:
        try:
            self.old._encode_and_write(lambda: frame.encode_frame(b"old"))
        except OSError:
            self.rejected = True

    def stop(self) -> None:
        self.old.close()
        self.locked = self.next.acquire_lock()
        if self.locked:
            self.next._encode_and_write(lambda: frame.encode_frame(b"new"))
        self.next.close()

    def holds(self) -> bool:
        return self.locked and self.old.path.read_bytes() == frame.encode_frame(b"new")


class ConcurrentWrites:
    """The thread of a cancelled write task is still writing when the next write begins."""

    def __init__(self, faulty: bool) -> None:
        self.file = StateFile(Path(tempfile.mkdtemp()) / "state")
        self.failed: list[OSError] = []
        self.locked = self.file.acquire_lock()
        if faulty:
            self.file._write_lock = nullcontext()

    def first(self) -> None:
        self._write(b"first")

    def second(self) -> None:
        self._write(b"second, longer")

    def _write(self, body: bytes) -> None:
        try:
            self.file._encode_and_write(lambda: frame.encode_frame(body))
        except OSError as error:
            self.failed.append(error)

    def holds(self) -> bool:
        complete = [frame.encode_frame(body) for body in (b"first", b"second, longer")]
        return self.locked and not self.failed and self.file.path.read_bytes() in complete


class RouteVersions:
    """The worker of a node's route store stores a version, removes it because its activation was aborted, and
    stores the next proposed version, while the second process of an upgrade reads the folder."""

    def __init__(self, faulty: bool) -> None:
        self.folder = Path(tempfile.mkdtemp())
        self.store, self.faulty = RouteStore(self.folder), faulty
        self.done: list[str] = []  # frontrun orders threads by accesses to memory, not to the folder
        self.seen: list[tuple[int, str]] = []

    def worker(self) -> None:
        self._step("write", lambda: self.store._write(1, "aborted"))
        if not self.faulty:
            self._step("remove", lambda: self.store._remove(1))
        self._step("write", lambda: self.store._write(2, "proposed next"))

    def second_worker(self) -> None:
        if self.faulty:  # a second thread removes, out of the order of the requests
            self._step("remove", lambda: self.store._remove(1))

    def reader(self) -> None:
        self._step("read", lambda: self.seen.extend(RouteStore(self.folder).load_all()))

    def _step(self, name: str, act: Callable[[], object]) -> None:
        self.done.append(name)
        act()

    def holds(self) -> bool:
        """A read shows the complete contents at one point in time; the last stored version remains."""
        states = ([], [(1, "aborted")], [(2, "proposed next")])
        return self.seen in states and RouteStore(self.folder).load_all() == [(2, "proposed next")]


CASES: dict[str, tuple[Callable[[bool], Any], list[Callable[[Any], None]]]] = {
    "targets": (Targets, [Targets.raft, Targets.http_read, Targets.watcher]),
    "members": (Members, [Members.raft, Members.leader, Members.http_read]),
    "write-during-stop": (WriteDuringStop, [WriteDuringStop.write, WriteDuringStop.stop]),
    "versions": (RouteVersions, [RouteVersions.worker, RouteVersions.second_worker, RouteVersions.reader]),
    "concurrent-writes": (ConcurrentWrites, [ConcurrentWrites.first, ConcurrentWrites.second]),
}


def main(name: str) -> None:
    case, threads = CASES[name.removesuffix("-faulty")]
    result = frontrun.explore(
        setup=lambda: case(name.endswith("-faulty")),
        workers=threads,
        invariant=lambda state: state.holds(),
        max_executions=MAX_INTERLEAVINGS,
        total_timeout=60.0,
        reproduce_on_failure=2,
        trace_packages=["loadbalancer.*"],
    )
    summary = {
        "explored": result.num_explored,
        "holds": result.property_holds,
        "reason": result.explanation,
    }
    print(orjson.dumps(summary | {"inconclusive": result.inconclusive_reason}).decode())


if __name__ == "__main__":
    main(sys.argv[1])
