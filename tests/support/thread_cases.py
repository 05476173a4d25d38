"""Cases for tests/test_threads.py, run one at a time as `frontrun python -m tests.support.thread_cases NAME`,
which is how frontrun takes over locks and files. Each prints one line of JSON: how many interleavings were
explored, whether its rule held in all of them, and frontrun's account of the first in which it did not.

A name with `-wrong` runs the same threads over a class with a seeded mistake.
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

MOST = 1_000  # interleavings of a case


class Targets:
    """Raft's thread changes the catalog of targets; the web reads it, and a watcher what has changed."""

    def __init__(self, wrong: bool) -> None:
        self.told: list[int] = []
        self.catalog = TargetCatalog(1, self.told.append)
        self.put("a")
        self.seen: ListPage | None = None
        self.news: ListPage | None = None
        if wrong:
            self.catalog._lock = nullcontext()

    def put(self, uid: str) -> None:
        self.catalog.put({"uid": uid, "endpoint": "127.0.0.1:1", "state": "Ready"}, 0, _doApply=True)

    def raft(self) -> None:
        self.put("b")
        self.catalog.remove("a", 0, _doApply=True)

    def web(self) -> None:
        self.seen = self.catalog.page(None)

    def watcher(self) -> None:
        self.news = self.catalog.page(1)

    def holds(self) -> bool:
        """A page shows what there was at its revision: nothing of a change half made, nothing left out."""
        assert self.seen is not None
        assert self.news is not None
        whole = {1: ["a"], 2: ["a", "b"], 3: ["b"]}
        since = {1: [], 2: [("b", "Ready")], 3: [("b", "Ready"), ("a", "Gone")]}
        news = [(row["uid"], row["state"]) for row in self.news.targets]
        seen = sorted(row["uid"] for row in self.seen.targets)
        return (
            seen == whole[self.seen.revision] and news == since[self.news.revision] and self.told == [1, 2, 3]
        )


class Members:
    """Raft's thread applies a renewal and an enrolment; the leader's loop takes renewals, the web reads."""

    def __init__(self, wrong: bool) -> None:
        self.fleet = FleetCatalog(ServiceClock(), lambda: 0.0, lambda groups: None)
        self.fleet.lead(0.0, 1, "", 0, 1000.0, 50.0, _doApply=True)
        self.fleet.start_answering(1)
        self.enrol("n0")
        self.taken: list[AppliedRenewal] = []
        self.seen: dict[str, Any] = {}
        if wrong:
            self.fleet._lock = nullcontext()

    def enrol(self, name: str) -> None:
        self.fleet.enrol(1.0, 1, name, f"{name}:1", "", name, _doApply=True)

    def raft(self) -> None:
        self.fleet.renew_many(2.0, 1, [(1, 1, 0, 1, 0.5)], _doApply=True)
        self.enrol("n1")

    def leader(self) -> None:
        self.taken += self.fleet.take_applied_renewals()

    def web(self) -> None:
        self.seen = self.fleet.members()

    def holds(self) -> bool:
        """Each renewal is taken once; what is read is the log's state at one command's end."""
        taken = [(one.incarnation, one.seq) for one in (*self.taken, *self.fleet.take_applied_renewals())]
        rows = [(row["name"], row["seq"], row["share"]) for row in self.seen["members"]]
        before, renewed = [("n0", 0, 1.0)], [("n0", 1, 1.0)]
        states = [(1, 1.0, before), (1, 2.0, renewed), (2, 2.0, [*renewed, ("n1", 0, 0.0)])]
        return taken == [(1, 0), (1, 1), (2, 0)] and (self.seen["rev"], self.seen["log_ms"], rows) in states


class Stopping:
    """A write of the state file is under way in its thread while the node stops, and the next process, which
    waits for the lock, writes a newer one."""

    def __init__(self, wrong: bool) -> None:
        path = Path(tempfile.mkdtemp()) / "state"
        self.old, self.next = StateFile(path), StateFile(path)
        self.wrote = self.old.acquire_lock()
        self.refused = False
        if wrong:
            self.old._write_lock = nullcontext()

    def write(self) -> None:
        try:
            self.old._encode_and_write(lambda: frame.encode_frame(b"old"))
        except OSError:
            self.refused = True

    def stop(self) -> None:
        self.old.close()
        self.wrote = self.next.acquire_lock()
        if self.wrote:
            self.next._encode_and_write(lambda: frame.encode_frame(b"new"))
        self.next.close()

    def holds(self) -> bool:
        return self.wrote and self.old.path.read_bytes() == frame.encode_frame(b"new")


class Twice:
    """A write whose task was cancelled is still under way in its thread when the next one begins."""

    def __init__(self, wrong: bool) -> None:
        self.file = StateFile(Path(tempfile.mkdtemp()) / "state")
        self.failed: list[OSError] = []
        self.wrote = self.file.acquire_lock()
        if wrong:
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
        whole = [frame.encode_frame(body) for body in (b"first", b"second, longer")]
        return self.wrote and not self.failed and self.file.path.read_bytes() in whole


class Versions:
    """The worker of a node's route versions stores one, forgets it as its activation was aborted, and
    stores the one proposed next, while the next process of an upgrade reads the folder."""

    def __init__(self, wrong: bool) -> None:
        self.folder = Path(tempfile.mkdtemp())
        self.store, self.wrong = RouteStore(self.folder), wrong
        self.done: list[str] = []  # frontrun orders threads by what they share in memory, not in the folder
        self.seen: list[tuple[int, str]] = []

    def worker(self) -> None:
        self._step("write", lambda: self.store._write(1, "aborted"))
        if not self.wrong:
            self._step("forget", lambda: self.store._remove(1))
        self._step("write", lambda: self.store._write(2, "proposed next"))

    def beside(self) -> None:
        if self.wrong:  # removals by a thread of their own, out of the order they were asked for in
            self._step("forget", lambda: self.store._remove(1))

    def reader(self) -> None:
        self._step("read", lambda: self.seen.extend(RouteStore(self.folder).load_all()))

    def _step(self, name: str, act: Callable[[], object]) -> None:
        self.done.append(name)
        act()

    def holds(self) -> bool:
        """What is read is whole and was there at one moment; what is left is what was asked for last."""
        moments = ([], [(1, "aborted")], [(2, "proposed next")])
        return self.seen in moments and RouteStore(self.folder).load_all() == [(2, "proposed next")]


CASES: dict[str, tuple[Callable[[bool], Any], list[Callable[[Any], None]]]] = {
    "targets": (Targets, [Targets.raft, Targets.web, Targets.watcher]),
    "members": (Members, [Members.raft, Members.leader, Members.web]),
    "stopping": (Stopping, [Stopping.write, Stopping.stop]),
    "versions": (Versions, [Versions.worker, Versions.beside, Versions.reader]),
    "twice": (Twice, [Twice.first, Twice.second]),
}


def main(name: str) -> None:
    case, threads = CASES[name.removesuffix("-wrong")]
    found = frontrun.explore(
        setup=lambda: case(name.endswith("-wrong")),
        workers=threads,
        invariant=lambda state: state.holds(),
        max_executions=MOST,
        total_timeout=60.0,
        reproduce_on_failure=2,
        trace_packages=["loadbalancer.*"],
    )
    said = {"explored": found.num_explored, "holds": found.property_holds, "why": found.explanation}
    print(orjson.dumps(said | {"inconclusive": found.inconclusive_reason}).decode())


if __name__ == "__main__":
    main(sys.argv[1])
