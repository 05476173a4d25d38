"""pysyncobj's settings for an instance, and the numbers that it uses for an instance's role."""

from __future__ import annotations

from collections.abc import Callable, Sequence

import structlog
from pysyncobj import SyncObj, SyncObjConf, SyncObjConsumer
from pysyncobj.journal import MetaStorer

from loadbalancer.registry.settings import CONNECTION_TIMEOUT_MS, InstanceSettings
from loadbalancer.registry.snapshot_file import SnapshotFile, snapshot_term

log = structlog.stdlib.get_logger()

RAFT_LEADER = 2  # pysyncobj's number of the role; 0 is a follower, 1 a candidate

JOURNAL_FILE = "raft.journal"
SNAPSHOT_FILE = "raft.dump"
TERM_FILE = "raft.journal.meta"

MAX_TICK_S = 0.05  # of pysyncobj's thread
RECONNECT_PERIOD_S = 0.5
ELECTIONS_WITHOUT_QUORUM = 2  # a leader that hears no majority for so many election times steps down
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
        # Without it pysyncobj listens on every address of the machine, and unpickles what is sent there.
        bindAddress=config.raft,
        useFork=False,
        appendEntriesPeriod=period_s,
        autoTickPeriod=min(MAX_TICK_S, period_s / 2.0),
        raftMinTimeout=config.election_min_ms / MS_PER_S,
        raftMaxTimeout=election_max_s,
        # Raft's check-quorum: without it a leader cut off from the majority leads on for pysyncobj's 30 s.
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

    Raft's term is never below that of an entry in its log. pysyncobj takes it from the journal and the term
    file alone, which it doesn't sync to the disk. After a power loss it may begin below the snapshot's term,
    and the fleet's state would refuse the commands of every leader until elections have raised it again.
    """
    try:
        term = snapshot_term(config.data / SNAPSHOT_FILE)
    except FileNotFoundError:
        return
    except Exception:
        log.exception("snapshot_not_read")  # pysyncobj goes on without it
        return
    storer = MetaStorer(str(config.data / TERM_FILE))
    stored = storer.getMeta()
    if stored.get("currentTerm", 0) < term:
        # For whom it has voted in that term is lost, so it votes for no other.
        storer.storeMeta(stored | {"currentTerm": term, "votedForNodeId": config.raft})
        log.warning("raft_term_restored", term=term, stored=stored.get("currentTerm", 0))
