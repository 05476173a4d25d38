"""An instance's replicated state without HTTP, read from and written to a data folder."""

from __future__ import annotations

from pathlib import Path
from typing import Any

from pysyncobj import SyncObj, SyncObjConf

from loadbalancer.registry.catalog import TargetCatalog
from loadbalancer.registry.fleet_catalog import FleetCatalog
from loadbalancer.registry.service_clock import ServiceClock
from loadbalancer.registry.snapshot_file import SnapshotFile
from tests.support.pickle_contents import contents, unzipped
from tests.support.ports import free_port
from tests.support.registry_processes import until

MAX_TOMBSTONES = 3  # as in the release that wrote the fixtures
EMPTY_RAFT_PART = ((), (), ())  # of a snapshot: the last two log entries and the cluster


class StoredInstance:
    """Both consumers of the Raft log, with snapshots and a journal in `folder`."""

    def __init__(self, folder: Path) -> None:
        self.folder = folder
        self.targets = TargetCatalog(MAX_TOMBSTONES, lambda revision: None)
        self.fleet = FleetCatalog(ServiceClock(None), lambda: 0.0, lambda groups: None)
        self.snapshot_file = SnapshotFile([self.targets, self.fleet])

    def read_snapshot(self) -> None:
        self.snapshot_file.read(str(self.folder / "raft.dump"))

    def write_snapshot(self) -> bytes:
        """Write a snapshot file and return the pickle in it."""
        path = self.folder / "written.dump"
        self.snapshot_file.write(str(path), EMPTY_RAFT_PART)
        return unzipped(path)

    def state(self) -> dict[str, Any]:
        """Return both consumers' state as stored, under stored names."""
        _, targets, fleet = contents(self.write_snapshot())["tuple"][0]
        return {"targets": targets, "fleet": fleet}

    def start_single_member(self) -> SyncObj:
        """Start a cluster of one Raft member, which applies the stored data in this thread."""
        conf = SyncObjConf(
            journalFile=str(self.folder / "raft.journal"),
            fullDumpFile=str(self.folder / "raft.dump"),
            autoTick=False,
            useFork=False,
            appendEntriesPeriod=0.01,
            raftMinTimeout=0.05,
            raftMaxTimeout=0.1,
            serializer=self.snapshot_file.write,
            deserializer=self.snapshot_file.read,
        )
        return SyncObj(f"127.0.0.1:{free_port()}", [], conf, consumers=[self.targets, self.fleet])

    def replay(self) -> None:
        """Apply the folder's snapshot and journal."""
        raft = self.start_single_member()
        try:
            tick_until_applied(raft)
        finally:
            raft.destroy()


def tick_until_applied(raft: SyncObj) -> None:
    """Run this member until it leads and has applied its journal."""

    def applied() -> bool:
        raft.doTick()
        status = raft.getStatus()
        return bool(raft.isReady()) and status["last_applied"] == status["commit_idx"]

    until(applied, condition="a journal replayed")
