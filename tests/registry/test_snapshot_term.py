"""Instances whose machines lost Raft's journal, or its latest term, and kept a snapshot.

A power loss leaves such folders, as pysyncobj syncs neither file. The snapshot's state refuses the commands
of every leader whose term is below its own.
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import replace
from pathlib import Path

import pytest
from pysyncobj.journal import MetaStorer

from loadbalancer.registry.raft import SNAPSHOT_FILE, TERM_FILE, restore_term
from loadbalancer.registry.settings import load_instance
from tests.registry.test_registry_parts import GOOD
from tests.support.registry_processes import Registry, ask, until
from tests.support.stored_registry import StoredInstance

TERM = 40
LIMIT_S = 30.0
ABOUT = {"name": "n1", "address": "127.0.0.1:9001", "start": "s1"}
NO_OP = b"\x01"


@pytest.fixture
def registry(tmp_path: Path) -> Iterator[Registry]:
    """Instances that have been stopped."""
    cluster = Registry(tmp_path, members=lambda index: {"ttl_ms": 2_000, "clock_bound_ms": 100})
    for index in range(3):
        cluster.kill(index)
    yield cluster
    cluster.stop()


def emptied(registry: Registry, index: int) -> Path:
    """The instance's data folder, without any file."""
    folder = registry.folder / f"data-r{index}"
    for path in folder.iterdir():
        path.unlink()
    return folder


def store_snapshot(folder: Path) -> None:
    """A snapshot of a fleet that was led in term TERM."""
    stored = StoredInstance(folder)
    stored.fleet.state.start_term(TERM, "127.0.0.1:1", None, 2_000.0, 100.0)
    entries = ((NO_OP, 4, TERM), (NO_OP, 3, TERM))
    stored.snapshot_file.write(str(folder / SNAPSHOT_FILE), (*entries, None))


def until_enrolled(registry: Registry) -> None:
    """Until an instance takes a member: the fleet is led."""

    def enrolled() -> bool:
        return any(ask(registry.http[at], "POST", "/fleet/enrol", ABOUT)[0] == 200 for at in registry.live())

    until(enrolled, LIMIT_S, "a leader of the fleet")


def test_the_fleet_is_led_again_after_all_instances_have_lost_their_journals(registry: Registry) -> None:
    for index in range(3):
        store_snapshot(emptied(registry, index))
    for index in range(3):
        registry.start(index)
    until_enrolled(registry)
    until(lambda: all(registry.status(at)["term"] > TERM for at in range(3)), LIMIT_S, "later terms")


@pytest.mark.parametrize(
    ("stored", "restored"), [(None, TERM), (3, TERM), (TERM, TERM), (TERM + 5, TERM + 5)]
)
def test_an_instance_begins_in_no_term_below_its_snapshots(
    tmp_path: Path, stored: int | None, restored: int
) -> None:
    store_snapshot(tmp_path)
    (tmp_path / "r.toml").write_text(GOOD)
    settings = replace(load_instance(tmp_path / "r.toml"), data=tmp_path)
    terms = MetaStorer(str(tmp_path / TERM_FILE))
    if stored is not None:
        terms.storeMeta({"currentTerm": stored, "votedForNodeId": "127.0.0.1:2"})
    restore_term(settings)
    found = terms.getMeta()
    assert found["currentTerm"] == restored
    kept = stored is not None and stored >= TERM
    assert found["votedForNodeId"] == ("127.0.0.1:2" if kept else settings.raft)


@pytest.mark.parametrize("content", [b"", b"\x1f\x8b", b"no snapshot"])
def test_an_unreadable_snapshot_does_not_keep_an_instance_from_its_start(
    registry: Registry, content: bytes
) -> None:
    (emptied(registry, 0) / SNAPSHOT_FILE).write_bytes(content)
    for index in range(3):
        registry.start(index)
    until_enrolled(registry)
