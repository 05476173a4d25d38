"""The snapshot file of an instance (`raft.dump`), in pysyncobj's layout but read across releases.

pysyncobj's own reader requires a part for each consumer and fails on a file with fewer, after which the
instance applies nothing more. Here a consumer without a part keeps its initial state (a file written before
the fleet existed), and surplus parts are ignored (a file of a later release).
"""

from __future__ import annotations

import gzip
from collections.abc import Sequence
from pathlib import Path
from typing import Any

from pysyncobj import SyncObjConsumer

from loadbalancer.registry.stored_form import STORED_FORM

GZIP_LEVEL = 1  # files are written in Raft's thread, and the default level takes several times as long


class SnapshotFile:
    """Writes and reads snapshots of these consumers, for `SyncObjConf(serializer=, deserializer=)`."""

    def __init__(self, consumers: Sequence[SyncObjConsumer]) -> None:
        self._consumers = consumers

    def write(self, path: str, raft: Sequence[Any]) -> None:
        """Write all consumers. `raft`: pysyncobj's own part, the last two log entries and the cluster."""
        parts = [{}, *(consumer._serialize() for consumer in self._consumers)]
        with gzip.open(path, "wb", compresslevel=GZIP_LEVEL) as file:
            STORED_FORM.dump((parts, *raft), file)

    def read(self, path: str) -> tuple[Any, ...]:
        """Give each consumer its part and return pysyncobj's, which logs any error that this raises."""
        with gzip.open(Path(path), "rb") as file:
            parts, *raft = STORED_FORM.load(file)
        for consumer, part in zip(self._consumers, parts[1:], strict=False):
            consumer._deserialize(part)
        return tuple(raft)


def snapshot_term(path: Path) -> int:
    """Raft's term of the last entry that a snapshot file covers; any error of a file that can't be read."""
    with gzip.open(path, "rb") as file:
        _, (_, _, term), *_ = STORED_FORM.load(file)
    return int(term)
