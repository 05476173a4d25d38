"""Requests that must not run twice are not rejected for lack of memory for their ids."""

from __future__ import annotations

import os
from random import Random

import pytest

from loadbalancer.node.executed_ids import MIN_RETENTION_S, ExecutedIds
from loadbalancer.node.key_set import KeySet
from loadbalancer.node.memory_budget import EXECUTED_ID_BYTES, MemoryBudget
from loadbalancer.node.state.executed_id_log import MAX_FILES, ExecutedIdLog

RETENTION_S = 100.0  # ten times the longest client timeout, 10 s
RETENTIONS = 2


@pytest.mark.parametrize(("memory_mb", "rate_per_s"), [(32, 250), (64, 600)])
def test_orders_past_one_retention_find_a_place_for_their_ids(memory_mb: int, rate_per_s: int):
    """Regression: from second 33 (32 MB) and 55 (64 MB) on orders got a 503, for want of memory for ids."""
    ids = ExecutedIds(MemoryBudget(memory_mb).executed_ids, RETENTION_S, 0.0)
    rejected_at = []
    for number in range(int(RETENTIONS * RETENTION_S * rate_per_s)):
        now = number / rate_per_s
        if ids.reserve(now):
            ids.end(f"order-{number}", executed=True, claimed=True, now=now)
        else:
            rejected_at.append(now)
    assert len(rejected_at) == 0


def test_claims_for_the_other_process_past_one_retention_find_a_place(tmp_path):
    """The files of claims are bounded too. A request ends 10 s after its claim at the latest."""
    memory, rate_per_s, client_timeout_s = MemoryBudget(32), 250, 10.0
    log = ExecutedIdLog(tmp_path, f"{os.getpid()}-a", RETENTION_S, memory.reserve_id_files(MAX_FILES))
    ids = ExecutedIds(memory.executed_ids, RETENTION_S, 0.0, log)
    rejections = 0
    for number in range(int(RETENTIONS * RETENTION_S * rate_per_s)):
        now = number / rate_per_s
        if not ids.reserve(now):
            rejections += 1
            continue
        assert ids.claim(f"order-{number}", now, client_timeout_s)
        ids.end(f"order-{number}", executed=True, claimed=True, now=now, client_timeout_s=client_timeout_s)
    log.close()
    assert rejections == 0


@pytest.mark.parametrize("client_timeout_s", [0.3, 10.0, 40.0, 100.0])
def test_id_is_retained_for_as_long_as_its_client_may_have_waited(client_timeout_s: float):
    expected_s = max(MIN_RETENTION_S, client_timeout_s)
    memory = MemoryBudget(32)
    ids = ExecutedIds(memory.executed_ids, RETENTION_S, 0.0)
    for index in range(20):  # at any time within a generation
        ended_at = index * 1.3
        assert ids.reserve(ended_at)
        ids.end(f"q{index}", executed=True, claimed=True, now=ended_at, client_timeout_s=client_timeout_s)
        assert ids.contains(f"q{index}", ended_at)
    for index in range(20):
        assert ids.contains(f"q{index}", index * 1.3 + expected_s)
    ids.contains("other", 19 * 1.3 + expected_s + MIN_RETENTION_S / 2)
    assert len(ids) == memory.executed_ids.reserved_bytes == 0


def test_key_set_behaves_as_a_set_and_stays_within_the_memory_of_its_keys():
    random, keys, expected = Random(7), KeySet(), set()
    for _ in range(40_000):
        key = random.choice((random.getrandbits(64), random.randrange(10, 3000)))
        if random.random() < 0.8:
            assert keys.add(key) == (key not in expected)
            expected.add(key)
        else:
            assert keys.discard(key) == (key in expected)
            expected.discard(key)
    assert len(keys) == len(expected)
    assert all(key in keys for key in expected)
    assert keys.memory_bytes <= EXECUTED_ID_BYTES * (len(expected) + 2) * 1.3  # with removed ones


def test_key_takes_at_most_the_bytes_that_are_counted_for_an_id():
    random, keys = Random(11), KeySet()
    for count in range(1, 20_000):
        keys.add(random.getrandbits(64))
        if count > 64:
            assert keys.memory_bytes <= EXECUTED_ID_BYTES * (count + 1)
