"""Threads of the real classes in every order that matters, by frontrun (DPOR), at most two of them preempted.

Each case of tests/support/thread_cases.py runs in a process of its own under `frontrun`, so the one test
command stays `python -m pytest`. A lock taken out, or an order not kept, is the seeded mistake: it has to be
found.
"""

from __future__ import annotations

import os
import subprocess
import sys
from pathlib import Path
from typing import Any

import orjson
import pytest

CASES = ("targets", "members", "stopping", "twice", "versions")


def explored(name: str, folder: Path) -> dict[str, Any]:
    command = [sys.executable, "-m", "frontrun.cli", sys.executable, "-m", "tests.support.thread_cases", name]
    done = subprocess.run(
        command,
        cwd=Path(__file__).parents[1],
        env={**os.environ, "TMPDIR": str(folder)},
        capture_output=True,
        timeout=120,
        check=False,
    )
    assert done.returncode == 0, done.stderr.decode()
    found: dict[str, Any] = orjson.loads(done.stdout.splitlines()[-1])
    print(f"\n{name}: {found['explored']} interleavings, holds: {found['holds']}\n{found['why'] or ''}")
    return found


@pytest.mark.parametrize("name", CASES)
def test_threads_keep_the_rule_in_every_order(name: str, tmp_path: Path) -> None:
    found = explored(name, tmp_path)
    assert found["holds"] is True, found
    assert 1 < found["explored"] < 1_000


@pytest.mark.parametrize("name", CASES)
def test_the_seeded_mistake_is_found(name: str, tmp_path: Path) -> None:
    assert explored(f"{name}-wrong", tmp_path)["holds"] is False
