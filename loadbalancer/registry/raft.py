"""pysyncobj's settings for an instance, and the numbers that it uses for an instance's role."""

from __future__ import annotations

from collections.abc import Callable, Sequence

from pysyncobj import SyncObj, SyncObjConf, SyncObjConsumer

from loadbalancer.registry.settings import CONNECTION_TIMEOUT_MS, InstanceSettings
from loadbalancer.registry.snapshot_file import SnapshotFile

RAFT_LEADER = 2  # pysyncobj's number of the role; 0 is a follower, 1 a candidate

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
    period_s = config.append_period_ms / MS_PER_S
    election_max_s = config.election_max_ms / MS_PER_S
    conf = SyncObjConf(
        journalFile=str(config.data / "raft.journal"),
        fullDumpFile=str(config.data / "raft.dump"),
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
