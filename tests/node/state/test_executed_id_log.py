"""Ids of executed requests: their retention, and the files that the processes of a node share."""

from __future__ import annotations

import errno
import logging
import os
from pathlib import Path

import pytest

from loadbalancer.node.executed_ids import GENERATIONS, ExecutedIds, key_of
from loadbalancer.node.memory_budget import EXECUTED_ID_BYTES, MemoryPool
from loadbalancer.node.state import executed_id_log
from loadbalancer.node.state.executed_id_log import MAX_FILE_BYTES, RECORD, ExecutedIdLog

RETENTION_S = 30.0


class Process:
    """The ids of one process that shares `folder`."""

    def __init__(
        self, folder: Path, name: str, capacity: int = 1000, max_file_bytes: int = MAX_FILE_BYTES
    ) -> None:
        self.pool = MemoryPool("ids", capacity * EXECUTED_ID_BYTES)
        self.log = ExecutedIdLog(folder, f"{os.getpid()}-{name}", RETENTION_S, max_file_bytes)
        self.ids = ExecutedIds(self.pool, RETENTION_S, 0.0, self.log)

    def execute(self, request_id: str, now: float = 0.0) -> bool:
        """Run a request to its end, unless it must not be executed; return whether it was."""
        if self.ids.contains(request_id, now) or not self.ids.reserve(now):
            return False
        claimed = self.ids.claim(request_id, now)
        self.ids.end(request_id, executed=claimed, claimed=True, now=now)
        return claimed


def test_id_is_retained_for_the_retention_time_and_then_freed():
    pool = MemoryPool("ids", 10**6)
    ids = ExecutedIds(pool, RETENTION_S, 0.0)
    for index in range(100):
        assert ids.reserve(0.0)
        ids.end(f"q{index}", executed=True, claimed=True, now=index * 0.1)
    assert pool.reserved_bytes == 100 * EXECUTED_ID_BYTES
    assert all(ids.contains(f"q{index}", index * 0.1 + RETENTION_S) for index in range(100))
    assert not ids.contains("q99", 9.9 + RETENTION_S * (1 + 2 / GENERATIONS))
    assert (len(ids), pool.reserved_bytes) == (0, 0)


def test_id_of_a_request_that_was_not_executed_is_forgotten():
    pool = MemoryPool("ids", 10**6)
    ids = ExecutedIds(pool, RETENTION_S, 0.0)
    assert ids.reserve(0.0)
    ids.end("q1", executed=False, claimed=True, now=0.0)
    assert not ids.contains("q1", 0.0)
    assert pool.reserved_bytes == 0


def test_full_memory_leaves_no_place_until_ids_expire(tmp_path):
    process = Process(tmp_path / "new", "a", capacity=3)
    assert [process.execute(f"q{index}") for index in range(4)] == [True, True, True, False]
    assert not process.execute("q9", RETENTION_S)
    assert process.execute("q9", 2 * RETENTION_S)


def test_id_is_executed_by_one_process_only(tmp_path):
    old = Process(tmp_path, "a")
    assert old.execute("q1")
    new = Process(tmp_path, "b")
    assert not new.execute("q1")
    assert new.execute("q2", 1.0)
    assert not old.execute("q2", 1.0)


def test_id_that_two_processes_claim_at_once_is_executed_by_at_most_one(tmp_path):
    for order in ("ab", "ba"):
        first, second = (Process(tmp_path / order, name) for name in order)
        assert not first.ids.contains("q1", 0.0)
        assert not second.ids.contains("q1", 0.0)
        assert first.ids.claim("q1", 0.0)
        assert not second.ids.claim("q1", 0.0)


def test_id_that_was_claimed_but_not_executed_is_free_for_the_other_process(tmp_path):
    first, second = Process(tmp_path, "a"), Process(tmp_path, "b")
    assert first.ids.reserve(0.0)
    assert first.ids.claim("q1", 0.0)
    assert second.ids.contains("q1", 0.0)
    first.ids.end("q1", executed=False, claimed=True, now=0.1)
    assert second.execute("q1", 0.2)
    assert first.pool.reserved_bytes == 0


def test_incomplete_record_of_a_killed_process_is_ignored(tmp_path):
    old = Process(tmp_path, "a")
    assert old.execute("q1")
    (path,) = tmp_path.iterdir()
    path.write_bytes(path.read_bytes() + RECORD.pack(key_of("q2"), 0.0, 1)[:-1])
    new = Process(tmp_path, "b")
    assert not new.execute("q1")
    assert new.execute("q2")


@pytest.mark.parametrize("error", [errno.ENOSPC, errno.EIO])
def test_failed_write_is_logged_once_and_later_records_stay_readable(tmp_path, monkeypatch, caplog, error):
    old, real = Process(tmp_path, "a"), os.pwrite
    assert old.execute("q1")

    def fail(descriptor: int, data: bytes, offset: int) -> int:
        real(descriptor, data[:5], offset)  # half a record has been written
        raise OSError(error, "injected")

    with monkeypatch.context() as patch:
        patch.setattr(executed_id_log.os, "pwrite", fail)
        assert old.execute("q2")
        assert old.execute("q3")
        assert not old.execute("q3")  # this process still knows it
    assert [record.levelno for record in caplog.records] == [logging.ERROR]
    monkeypatch.setattr(
        executed_id_log.os, "pwrite", lambda fd, data, offset: real(fd, data[:3], offset)
    )  # short writes
    assert old.execute("q4")
    new = Process(tmp_path, "b")
    assert [new.execute(name) for name in ("q1", "q4", "q5")] == [False, False, True]


def test_folder_that_cannot_be_read_or_written_does_not_stop_requests(tmp_path, caplog):
    (tmp_path / "file").write_text("")
    process = Process(tmp_path / "file", "a")
    assert process.execute("q1")
    assert not process.execute("q1")
    assert caplog.records


def test_files_are_bounded_and_removed_once_their_records_have_expired(tmp_path):
    process, other = Process(tmp_path, "a", max_file_bytes=10 * RECORD.size), Process(tmp_path, "b")
    executed = [process.execute(f"q{index}") for index in range(40)]
    assert executed.count(True) == 30
    assert not other.execute("q1")
    assert len(list(tmp_path.iterdir())) == 3
    later = 2 * RETENTION_S
    assert all(process.execute(f"r{index}", later) for index in range(5))
    assert not other.execute("r1", later)
    assert len(list(tmp_path.iterdir())) == 1


def test_files_of_ended_processes_are_removed_once_their_records_have_expired(tmp_path):
    ended = Process(tmp_path, "a")
    assert ended.execute("q1")
    (path,) = tmp_path.iterdir()
    path.rename(tmp_path / path.name.replace(str(os.getpid()), "4999999"))  # beyond the largest process id
    new = Process(tmp_path, "b")
    assert new.execute("q1", 2 * RETENTION_S)
    assert [file.name.split("-")[1] for file in tmp_path.iterdir()] == [str(os.getpid())]
