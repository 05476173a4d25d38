"""Makes this folder's fixtures of stored data with the code of commit bf594b0 (package `orchidledge`).

    PYTHONPATH=<worktree of bf594b0>:<this worktree> python generate_stored_data.py <output folder>

Run it outside of any worktree; README.md beside this says what it makes.
"""

from __future__ import annotations

import shutil
import sys
import tarfile
import threading
import time
from collections.abc import Callable
from pathlib import Path
from typing import Any
from unittest import mock
from urllib.parse import unquote

import orjson
from orchidledge.interface import Learned, Server, ServerState
from orchidledge.net.discovery import Listing
from orchidledge.net.fleet.store import RouteStore
from orchidledge.net.handover import Handover
from orchidledge.net.maintenance import Bans
from orchidledge.net.snapshot import decode, encode, put
from orchidledge.registry.clock_file import ClockFile, Clocks
from orchidledge.registry.commands import EndService, EnrolMember, RemoveMembers
from orchidledge.registry.commands import encode as encode_command
from orchidledge.registry.dump import Dump
from orchidledge.registry.fleet import FleetCatalog
from orchidledge.registry.service_clock import Bound, ServiceClock
from orchidledge.registry.store import Catalog, clean_target
from pysyncobj import SyncObj, SyncObjConf

from tests.support.pickle_contents import contents, unzipped
from tests.support.ports import free_port

INSTANCES = 3
KEEP_GONE = 3
FIRST_TERM = 0  # of the fleet's commands; the next is 1, not above any that Raft's election reaches
ROUTES = '[[class.read.group]]\nmodel = "m{0}"\nweight = {0}.0\n'
CLOCK_RUN = "run of the machine"  # in place of what tells one run of a machine from another
PREPARE_MS = 1_000.0


def wait_until(condition: Callable[[], bool]) -> None:
    deadline = time.monotonic() + 20.0
    while not condition():
        if time.monotonic() > deadline:
            raise TimeoutError("the instances have not come to the state")
        time.sleep(0.01)


class Instance:
    """A Raft member with both consumers, as registry/service.py of bf594b0 sets it up."""

    def __init__(self, folder: Path, own: str, others: list[str]) -> None:
        folder.mkdir(parents=True)
        self.folder = folder
        self.targets = Catalog(KEEP_GONE, lambda revision: None)
        self.fleet = FleetCatalog(ServiceClock(None), lambda: 0.0, lambda groups: None)
        dump = Dump([self.targets, self.fleet])
        conf = SyncObjConf(
            journalFile=str(folder / "raft.journal"),
            fullDumpFile=str(folder / "raft.dump"),
            bindAddress=own,
            useFork=False,
            appendEntriesPeriod=0.01,
            raftMinTimeout=0.4,
            raftMaxTimeout=1.0,
            serializer=dump.write,
            deserializer=dump.read,
        )
        self.raft = SyncObj(own, others, conf, consumers=[self.targets, self.fleet])

    def applied(self) -> int:
        return int(self.raft.getStatus()["last_applied"])

    def write_snapshot(self) -> None:
        dump = self.folder / "raft.dump"
        self.raft.forceLogCompaction()
        wait_until(lambda: dump.exists() and not Path(f"{dump}.tmp").exists())


class Cluster:
    """Three instances; commands are proposed where the leader is."""

    def __init__(self, folder: Path) -> None:
        own = [f"127.0.0.1:{free_port()}" for _ in range(INSTANCES)]
        self.instances = [
            Instance(folder / f"data-r{at}", one, [other for other in own if other != one])
            for at, one in enumerate(own)
        ]
        wait_until(lambda: all(instance.raft.isReady() for instance in self.instances))
        self.term = FIRST_TERM
        self.commands: list[list[Any]] = []

    def leader(self) -> Instance:
        wait_until(lambda: any(one.raft._isLeader() for one in self.instances))
        return next(one for one in self.instances if one.raft._isLeader())

    def target(self, command: str, *arguments: Any) -> Any:
        return self._commit("targets", command, arguments)

    def member(self, command: str, stamp: float, *arguments: Any) -> Any:
        return self._commit("fleet", command, (stamp, self.term, *arguments))

    def write(self, stamp: float, *commands: Any) -> Any:
        return self.member("write", stamp, [encode_command(command) for command in commands])

    def settle(self) -> None:
        """Until every instance has applied all that is committed."""
        wait_until(lambda: len({instance.applied() for instance in self.instances}) == 1)

    def close(self) -> None:
        self.settle()
        time.sleep(1.5)  # pysyncobj keeps the commit index on disk once a second
        for instance in self.instances:
            instance.raft.destroy()
        time.sleep(0.5)

    def _commit(self, consumer: str, command: str, arguments: tuple[Any, ...]) -> Any:
        self.commands.append([consumer, command])
        method = getattr(getattr(self.leader(), consumer), command)
        settled = threading.Event()
        found: list[Any] = []

        def settle(result: Any, failure: int) -> None:
            found.extend((result, failure))
            settled.set()

        method(
            *arguments, callback=settle
        )  # as registry/service.py proposes: the form in the log depends on it
        if not settled.wait(5.0) or found[1]:
            raise TimeoutError(f"{command} not committed: {found}")
        return found[0]


def renewal(incarnation: int, seq: int, acked: int, using: float) -> tuple[int, int, int, int, float]:
    return incarnation, seq, seq - 1, acked, using


def target(uid: str, **more: Any) -> dict[str, Any]:
    row = {"uid": uid, "endpoint": f"10.0.0.{uid[1:]}:80", "az": "a", "model": "m1", "pod_group": 2}
    return clean_target(row | {"capacity_hint": 1.5, "boot_ms": 1_700_000_000_000} | more)


def begin(cluster: Cluster) -> None:
    """Targets, tombstones past the horizon, and the first members: a state in which version 1 is in force."""
    for at in range(1, 8):
        cluster.target("put", target(f"t{at}"), 1_000 + at)
    for at in range(1, 5):
        cluster.target("remove", f"t{at}", 2_000 + at)
    cluster.target("put", target("t6", state="Terminating"), 2_100)
    cluster.target("renew", ["t5", "t6", "unknown"], 2_200)
    cluster.member("lead", 0.0, "127.0.0.1:8001", None, 1_200.0, 250.0)
    cluster.member("enrol", 10.0, "n1", "127.0.0.1:9001", "za", "start-1")
    cluster.member("enrol", 11.0, "n2", "127.0.0.1:9002", "zb", "start-2")
    cluster.member("enrol", 11.5, "n2", "127.0.0.1:9002", "zb", "start-2")  # said again
    cluster.write(
        12.0,
        EnrolMember("p1", "127.0.0.1:9101", "za", "start-p1", "pay"),
        EnrolMember("p2", "127.0.0.1:9102", "zb", "start-p2", "pay"),
        EnrolMember("p3", "127.0.0.1:9103", "", "start-p3", "pay"),
        EnrolMember("f1", "127.0.0.1:9201", "za", "start-f1", "find"),
    )
    cluster.member("renew_many", 13.0, [renewal(1, 1, 2, 0.5), renewal(2, 1, 2, 0.5)])
    cluster.member("propose", 20.0, ROUTES.format(1), 20.0 + PREPARE_MS)
    for incarnation in range(1, 7):
        cluster.member("vote", 21.0, incarnation, 1, True, "")
    cluster.member("decide", 5_300.0)


def every_row_state(cluster: Cluster) -> None:
    """A row of each state, with and without a service; version 2 aborted and version 3 being prepared."""
    cluster.member("renew_many", 5_310.0, [renewal(at, 2, 3, 0.1) for at in range(1, 7)])
    cluster.member("enrol", 5_320.0, "n3", "127.0.0.1:9003", "za", "start-3")
    cluster.member("enrol", 5_321.0, "n4", "127.0.0.1:9004", "za", "start-4")
    cluster.member("leaving", 5_330.0, 2)
    cluster.member("leave", 5_331.0, 7)
    cluster.member("leaving", 5_332.0, 4)
    cluster.member("leave", 5_333.0, 5)
    cluster.member("expire", 5_340.0, [(1, 2), (3, 2)], [], 1)
    cluster.member("propose", 5_400.0, ROUTES.format(2), 5_400.0 + PREPARE_MS)
    cluster.member("vote", 5_401.0, 2, 2, False, "class.read: unknown")
    cluster.member("propose", 5_500.0, ROUTES.format(3), 5_500.0 + PREPARE_MS)
    cluster.member("vote", 5_501.0, 2, 3, True, "")


def decided(cluster: Cluster) -> None:
    """Version 3 decided and not yet in force."""
    for incarnation in (4, 6, 8):
        cluster.member("vote", 5_510.0, incarnation, 3, True, "")


def every_command(cluster: Cluster) -> None:
    """Each command at least once, after the last snapshot."""
    cluster.term += 1  # a new leader that knows another epoch of service time
    cluster.member("lead", 5_600.0, "127.0.0.1:8002", 4, 1_500.0, 300.0)
    cluster.member("decide", 12_000.0)
    cluster.target("put", target("t8", az="b", boot_ms=0), 3_000)
    cluster.target("renew", ["t8", "t7"], 3_100)
    cluster.target("expire", 3_250, 1_000)
    cluster.target("grace", 3_300)
    cluster.target("remove", "t7", 3_400)
    cluster.member("enrol", 12_010.0, "n5", "127.0.0.1:9005", "zb", "start-5")
    cluster.member("renew_many", 12_020.0, [renewal(6, 5, 1, 0.2), renewal(9, 1, 1, 0.1)])
    cluster.member("rollback", 12_030.0, 1, 12_030.0 + PREPARE_MS)
    cluster.member("vote", 12_031.0, 6, 4, True, "")
    cluster.member("halt", 12_040.0, 4)
    cluster.member("propose", 12_050.0, ROUTES.format(5), 12_050.0 + PREPARE_MS)
    cluster.member("decide", 14_000.0)  # past the deadline
    cluster.member("rollback", 14_010.0, 0, 14_060.0)  # a deadline soon after the last command
    cluster.member("remove", 14_020.0, "n4")
    cluster.member("leaving", 14_030.0, 9)
    cluster.member("leave", 14_031.0, 2)
    cluster.member("expire", 14_040.0, [(6, 5)], [6], 1)
    cluster.write(
        14_050.0,
        EnrolMember("s1", "127.0.0.1:9301", "za", "start-s1", "search"),
        RemoveMembers("p1", "pay"),
        RemoveMembers("p2"),
        EndService("find"),
        EndService("search"),
    )


def state_of(instance: Instance, path: Path) -> dict[str, Any]:
    """Both consumers' stored state, by the names in which bf594b0 stores it."""
    Dump([instance.targets, instance.fleet]).write(str(path), ((), (), ()))
    _, targets, fleet = contents(unzipped(path))["tuple"][0]
    return {"targets": targets, "fleet": fleet}


def write_registry(folder: Path, scratch: Path) -> None:
    cluster = Cluster(scratch)
    first, second, third = cluster.instances
    expected: dict[str, Any] = {"empty": state_of(first, scratch / "state")}
    begin(cluster)
    every_row_state(cluster)
    cluster.settle()
    expected["snapshot-r0"] = state_of(first, scratch / "state")
    first.write_snapshot()
    decided(cluster)
    cluster.settle()
    expected["snapshot-r1"] = state_of(second, scratch / "state")
    second.write_snapshot()
    in_snapshots = len(cluster.commands)
    every_command(cluster)
    cluster.settle()
    expected["final"] = state_of(third, scratch / "state")
    expected["replayed"] = cluster.commands[in_snapshots:]
    cluster.close()
    (scratch / "state").unlink()
    with tarfile.open(folder / "registry-data.tar.xz", "w:xz") as archive:
        for instance in cluster.instances:
            for path in sorted(instance.folder.iterdir()):
                archive.add(path, f"{instance.folder.name}/{path.name}", filter=anonymous)
    (folder / "registry-expected.json").write_bytes(orjson.dumps(expected, option=orjson.OPT_INDENT_2))


def anonymous(entry: tarfile.TarInfo) -> tarfile.TarInfo:
    entry.uid = entry.gid = entry.mtime = 0
    entry.uname = entry.gname = ""
    return entry


def write_clock_file(folder: Path) -> None:
    file = ClockFile(folder, Clocks(0.0))
    file._run = CLOCK_RUN
    file.save(Bound(ahead=1_764_000_000_000.25, at=0.5, epoch=3))


LEARNED = Learned(
    base=0.21,
    level=0.34,
    cursor=7,
    rate=0.011,
    peak=0.022,
    sends=0.033,
    mean_aim=120.5,
    class_ms={"read": 20.25, "post": 41.0},
    slow={"t1": 3.5, "t2": 0.75},
)
LISTING = Listing(
    12,
    True,
    (
        Server("t1", "a", 2, ServerState.UP, 1_700_000_000_000.0, "m1"),
        Server("t2", "b", 0, ServerState.DRAINING),
        Server("t3", "", 1, ServerState.REMOVED),
    ),
    {"t1": ("10.0.0.1", 80), "t2": ("10.0.0.2", 8080), "t3": ("10.0.0.3", 80)},
)
WRITTEN_MS = 1_764_000_000_000.5


def write_node(folder: Path) -> None:
    folder.mkdir()
    put(folder / "n0.state", encode("n0", WRITTEN_MS, LEARNED, {"t2": WRITTEN_MS - 5_000.0}, LISTING))
    routes = RouteStore(folder / "routes")
    routes.write(3, ROUTES.format(3)).result()
    routes.write(12, "neutral = true\n# ü\n").result()
    routes.close()
    bans = Bans(folder / "ejections")
    bans.take_out("t1", WRITTEN_MS)
    bans.take_out("a/2 ü", WRITTEN_MS + 1.0)
    bans.bring_back("a/2 ü", WRITTEN_MS + 61_000.0)
    held = {"t1": 2.0, "t2": 0.5}
    Handover(folder / "handover", 41).write(WRITTEN_MS, LEARNED, held)


def write_node_expected(out: Path) -> None:
    """The bodies of the node's files as bf594b0 reads them."""
    node = out / "node"
    routes = RouteStore(node / "routes")
    expected = {
        "state": decode((node / "n0.state").read_bytes()),
        "routes": routes.read(),
        "ejections": {
            unquote(path.name.removeprefix("server-")): orjson.loads(path.read_bytes())
            for path in sorted((node / "ejections").iterdir())
        },
        "handover": orjson.loads((node / "handover" / "process-41").read_bytes()),
        "service_clock": orjson.loads((out / "service-clock.json").read_bytes()),
    }
    routes.close()
    (out / "node-expected.json").write_bytes(orjson.dumps(expected, option=orjson.OPT_INDENT_2))


def main() -> None:
    out = Path(sys.argv[1])
    scratch = out / "scratch"
    out.mkdir(parents=True, exist_ok=True)
    write_registry(out, scratch)
    shutil.rmtree(scratch)
    with mock.patch("time.monotonic", return_value=1.0):
        write_clock_file(out)
    write_node(out / "node")
    write_node_expected(out)


if __name__ == "__main__":
    main()
