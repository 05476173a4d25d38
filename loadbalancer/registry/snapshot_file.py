"""The snapshot file of an instance (`raft.dump`): pysyncobj's layout, readable across releases.

pysyncobj's reader requires a part for each consumer. It fails on a file with fewer parts, and the instance
then applies no further commands. The reader in this module accepts such a file, which was written before the
fleet existed: a consumer without a part keeps its initial state. It ignores surplus parts, which a later
release has written.
"""

from __future__ import annotations

import gzip
from collections.abc import Sequence
from pathlib import Path
from typing import Any

from pysyncobj import SyncObjConsumer

from loadbalancer.registry.stored_form import STORED_FORM

GZIP_LEVEL = 1  # snapshots block Raft's thread, and the default level takes several times as long


class SnapshotFile:
    """Writes and reads snapshots of the consumers, for `SyncObjConf(serializer=, deserializer=)`."""

    def __init__(self, consumers: Sequence[SyncObjConsumer]) -> None:
        self._consumers = consumers

    def write(self, path: str, raft: Sequence[Any]) -> None:
        """Write all consumers and pysyncobj's part `raft`: the last two log entries and the cluster."""
        parts = [{}, *(consumer._serialize() for consumer in self._consumers)]
        with gzip.open(path, "wb", compresslevel=GZIP_LEVEL) as file:
            STORED_FORM.dump((parts, *raft), file)

    def read(self, path: str) -> tuple[Any, ...]:
        """Restore each consumer and return pysyncobj's part; pysyncobj logs any error raised here."""
        with gzip.open(Path(path), "rb") as file:
            parts, *raft = STORED_FORM.load(file)
        for consumer, part in zip(self._consumers, parts[1:], strict=False):
            consumer._deserialize(part)
        return tuple(raft)


def snapshot_term(path: Path) -> int:
    """Return the Raft term of the last log entry in a snapshot; raise any error for an unreadable file."""
    with gzip.open(path, "rb") as file:
        _, (_, _, term), *_ = STORED_FORM.load(file)
    return int(term)
