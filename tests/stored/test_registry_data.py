"""Data stored by the list service of commit bf594b0 is read completely, and stored the same way now.

The fixtures and the expected contents are described in tests/data/release_bf594b0/README.md.
"""

from __future__ import annotations

import pickle
import tarfile
from pathlib import Path
from typing import Any

import orjson
import pytest

from loadbalancer.registry.clock_file import ClockFile, ProcessClocks
from loadbalancer.registry.service_clock import ClockBound
from tests.support.journals import journal_commands
from tests.support.stored_registry import StoredInstance, tick_until_applied

DATA = Path(__file__).parents[1] / "data" / "release_bf594b0"
EXPECTED: dict[str, Any] = orjson.loads((DATA / "registry-expected.json").read_bytes())
COMMANDS = 18  # kinds of commands of both consumers
SNAPSHOTS = ("r0", "r1")
JOURNALS = ("r0", "r1", "r2")
CLOCK_RUN = "run of the machine"  # the placeholder in the fixture


@pytest.fixture
def stored(tmp_path: Path) -> Path:
    """The folder with the three instances' data folders."""
    with tarfile.open(DATA / "registry-data.tar.xz") as archive:
        archive.extractall(tmp_path, filter="data")
    return tmp_path


def assert_same_contents(state: dict[str, Any], expected: dict[str, Any]) -> None:
    """Compare contents and order, as a watch reads changes in their stored order."""
    assert state == expected
    assert orjson.dumps(state) == orjson.dumps(expected)


@pytest.mark.parametrize("instance", SNAPSHOTS)
def test_snapshot_is_read_and_rewritten_with_same_contents(stored: Path, instance: str) -> None:
    restored = StoredInstance(stored / f"data-{instance}")
    restored.read_snapshot()
    assert_same_contents(restored.state(), EXPECTED[f"snapshot-{instance}"])


@pytest.mark.parametrize("instance", JOURNALS)
def test_journal_is_replayed_to_same_state(stored: Path, instance: str) -> None:
    restored = StoredInstance(stored / f"data-{instance}")
    restored.replay()
    assert_same_contents(restored.state(), EXPECTED["final"])


def test_initial_state_is_stored_as_before(tmp_path: Path) -> None:
    assert_same_contents(StoredInstance(tmp_path).state(), EXPECTED["empty"])


def test_replayed_journal_contains_every_command(stored: Path) -> None:
    replayed = journal_commands(stored / "data-r2" / "raft.journal")[-len(EXPECTED["replayed"]) :]
    assert {pickle.loads(command)[0] for command in replayed} == set(range(COMMANDS))


def test_proposed_commands_have_same_bytes_in_journal(stored: Path, tmp_path: Path) -> None:
    written = journal_commands(stored / "data-r2" / "raft.journal")
    folder = tmp_path / "now"
    folder.mkdir()
    raft = StoredInstance(folder).start_single_member()
    try:
        tick_until_applied(raft)
        for number, arguments in map(pickle.loads, written):
            raft._idToMethod[number](*arguments)
            raft.doTick()
        tick_until_applied(raft)
    finally:
        raft.destroy()
    assert journal_commands(folder / "raft.journal") == written


def test_service_clock_file_is_read_and_written_as_before(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    stored = (DATA / "service-clock.json").read_bytes()
    entry = orjson.loads(stored)
    bound = ClockBound(entry["ahead"], entry["at"], entry["epoch"])
    monkeypatch.setattr("time.monotonic", lambda: 1.0)  # later than `at`: the machine has not rebooted
    ClockFile(tmp_path, ProcessClocks(0.0)).save(bound)
    path = tmp_path / "service-clock.json"
    run = orjson.loads(path.read_bytes())["run"]
    assert path.read_bytes().replace(run.encode(), CLOCK_RUN.encode()) == stored
    path.write_bytes(stored.replace(CLOCK_RUN.encode(), run.encode()))
    assert ClockFile(tmp_path, ProcessClocks(0.0)).load() == bound
