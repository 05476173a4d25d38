"""Instances that have lost Raft's journal or its latest term, but not the snapshot.

This happens in a power loss, as pysyncobj doesn't sync the journal and the term file. The state in the
snapshot then rejects the commands of every leader whose term is lower.
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import replace
from pathlib import Path

import pytest
from pysyncobj.journal import MetaStorer

from loadbalancer.registry.raft import SNAPSHOT_FILE, TERM_FILE, restore_term
from loadbalancer.registry.settings import load_instance
from tests.registry.test_registry_parts import VALID_CONFIG
from tests.support.registry_processes import Registry, http_request, until
from tests.support.stored_registry import StoredInstance

TERM = 40
LIMIT_S = 30.0
IDENTITY = {"name": "n1", "address": "127.0.0.1:9001", "start": "s1"}
NO_OP = b"\x01"


@pytest.fixture
def registry(tmp_path: Path) -> Iterator[Registry]:
    """Three stopped instances."""
    cluster = Registry(tmp_path, members=lambda index: {"ttl_ms": 2_000, "clock_bound_ms": 100})
    for index in range(3):
        cluster.kill(index)
    yield cluster
    cluster.stop()


def empty_data_folder(registry: Registry, index: int) -> Path:
    """Delete the files in the instance's data folder and return the folder."""
    folder = registry.folder / f"data-r{index}"
    for path in folder.iterdir():
        path.unlink()
    return folder


def store_snapshot(folder: Path) -> None:
    """Write a snapshot of a fleet that was led in term TERM."""
    stored = StoredInstance(folder)
    stored.fleet.state.start_term(TERM, "127.0.0.1:1", None, 2_000.0, 100.0)
    entries = ((NO_OP, 4, TERM), (NO_OP, 3, TERM))
    stored.snapshot_file.write(str(folder / SNAPSHOT_FILE), (*entries, None))


def until_enrolled(registry: Registry) -> None:
    """Wait until an instance enrols a member, which means that the fleet has a leader."""

    def enrolled() -> bool:
        return any(
            http_request(registry.http[index], "POST", "/fleet/enrol", IDENTITY)[0] == 200
            for index in registry.live()
        )

    until(enrolled, LIMIT_S, "a leader of the fleet")


def test_fleet_gets_leader_after_all_instances_lost_their_journals(registry: Registry) -> None:
    for index in range(3):
        store_snapshot(empty_data_folder(registry, index))
    for index in range(3):
        registry.start(index)
    until_enrolled(registry)
    until(lambda: all(registry.status(index)["term"] > TERM for index in range(3)), LIMIT_S, "later terms")


@pytest.mark.parametrize(
    ("stored", "restored"), [(None, TERM), (3, TERM), (TERM, TERM), (TERM + 5, TERM + 5)]
)
def test_restored_term_is_not_below_snapshot_term(tmp_path: Path, stored: int | None, restored: int) -> None:
    store_snapshot(tmp_path)
    (tmp_path / "r.toml").write_text(VALID_CONFIG)
    settings = replace(load_instance(tmp_path / "r.toml"), data=tmp_path)
    terms = MetaStorer(str(tmp_path / TERM_FILE))
    if stored is not None:
        terms.storeMeta({"currentTerm": stored, "votedForNodeId": "127.0.0.1:2"})
    restore_term(settings)
    meta = terms.getMeta()
    assert meta["currentTerm"] == restored
    is_vote_kept = stored is not None and stored >= TERM
    assert meta["votedForNodeId"] == ("127.0.0.1:2" if is_vote_kept else settings.raft)


@pytest.mark.parametrize("content", [b"", b"\x1f\x8b", b"no snapshot"])
def test_instance_starts_despite_unreadable_snapshot(registry: Registry, content: bytes) -> None:
    (empty_data_folder(registry, 0) / SNAPSHOT_FILE).write_bytes(content)
    for index in range(3):
        registry.start(index)
    until_enrolled(registry)
