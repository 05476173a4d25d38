"""An instance's Raft member: pysyncobj's settings, role numbers and files."""

from __future__ import annotations

from collections.abc import Callable, Sequence

import structlog
from pysyncobj import SyncObj, SyncObjConf, SyncObjConsumer
from pysyncobj.journal import MetaStorer

from loadbalancer.registry.settings import CONNECTION_TIMEOUT_MS, InstanceSettings
from loadbalancer.registry.snapshot_file import SnapshotFile, snapshot_term

log = structlog.stdlib.get_logger()

RAFT_LEADER = 2  # pysyncobj's number of this role; 0 is a follower, 1 a candidate

JOURNAL_FILE = "raft.journal"
SNAPSHOT_FILE = "raft.dump"
TERM_FILE = "raft.journal.meta"

MAX_TICK_S = 0.05  # period of pysyncobj's thread
RECONNECT_PERIOD_S = 0.5
ELECTIONS_WITHOUT_QUORUM = 2  # a leader without a majority steps down after this many election timeouts
MS_PER_S = 1000.0


def join_cluster(
    config: InstanceSettings,
    consumers: Sequence[SyncObjConsumer],
    on_role_change: Callable[[int, int], None],
) -> SyncObj:
    """Start this instance's Raft member, which replicates the consumers in its own thread."""
    snapshots = SnapshotFile(consumers)
    restore_term(config)
    period_s = config.append_period_ms / MS_PER_S
    election_max_s = config.election_max_ms / MS_PER_S
    conf = SyncObjConf(
        journalFile=str(config.data / JOURNAL_FILE),
        fullDumpFile=str(config.data / SNAPSHOT_FILE),
        # By default pysyncobj listens on every address of the machine and unpickles all data sent there.
        bindAddress=config.raft,
        useFork=False,
        appendEntriesPeriod=period_s,
        autoTickPeriod=min(MAX_TICK_S, period_s / 2.0),
        raftMinTimeout=config.election_min_ms / MS_PER_S,
        raftMaxTimeout=election_max_s,
        # Raft's check-quorum. pysyncobj's default lets a leader without a majority lead for 30 s.
        leaderFallbackTimeout=ELECTIONS_WITHOUT_QUORUM * election_max_s,
        connectionRetryTime=RECONNECT_PERIOD_S,
        connectionTimeout=CONNECTION_TIMEOUT_MS / MS_PER_S,
        serializer=snapshots.write,
        deserializer=snapshots.read,
        onStateChanged=on_role_change,
    )
    return SyncObj(config.raft, list(config.peers), conf, consumers=list(consumers))


def restore_term(config: InstanceSettings) -> None:
    """Raise the stored term to that of the snapshot.

    Raft's term must not be below the term of any entry in its log. pysyncobj reads it only from the journal
    and the term file, which it doesn't sync to the disk. After a power loss it may start below the snapshot's
    term, and the fleet's state would reject every leader's commands until elections have raised the term.
    """
    try:
        term = snapshot_term(config.data / SNAPSHOT_FILE)
    except FileNotFoundError:
        return
    except Exception:
        log.exception("snapshot_not_read")  # pysyncobj continues without the snapshot
        return
    storer = MetaStorer(str(config.data / TERM_FILE))
    stored = storer.getMeta()
    if stored.get("currentTerm", 0) < term:
        # The record of its vote in that term is lost. Storing a vote for itself keeps it from voting for
        # another instance in the same term.
        storer.storeMeta(stored | {"currentTerm": term, "votedForNodeId": config.raft})
        log.warning("raft_term_restored", term=term, stored=stored.get("currentTerm", 0))
