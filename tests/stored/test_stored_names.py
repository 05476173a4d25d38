"""Snapshots name classes as commit bf594b0 named them, so that an instance of that release reads them.

The fixtures are described in tests/data/release_bf594b0/README.md.
"""

from __future__ import annotations

import tarfile
from pathlib import Path

import pytest

from tests.support.pickle_contents import named_classes, unzipped
from tests.support.stored_registry import StoredInstance

DATA = Path(__file__).parents[1] / "data" / "release_bf594b0"
CLASSES = 7  # number of classes named in a snapshot that has members and route versions


@pytest.mark.parametrize("instance", ["r0", "r1"])
def test_snapshot_names_same_classes_as_recorded_release(tmp_path: Path, instance: str) -> None:
    with tarfile.open(DATA / "registry-data.tar.xz") as archive:
        archive.extractall(tmp_path, filter="data")
    restored = StoredInstance(tmp_path / f"data-{instance}")
    restored.read_snapshot()
    expected = named_classes(unzipped(restored.folder / "raft.dump"))
    assert len(expected) == CLASSES
    assert named_classes(restored.write_snapshot()) == expected
