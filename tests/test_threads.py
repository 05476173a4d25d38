"""Races between threads: frontrun (DPOR) runs the real classes in all relevant interleavings with at most
two preemptions.

Each case of tests/support/thread_cases.py runs in a process of its own under `frontrun`, so that the test
command stays `python -m pytest`. Each case also runs with a seeded fault (a removed lock, or operations out
of order), which the exploration must find.
"""

from __future__ import annotations

import os
import subprocess
import sys
from pathlib import Path
from typing import Any

import orjson
import pytest

CASES = ("targets", "members", "write-during-stop", "concurrent-writes", "versions")


def explore(name: str, folder: Path) -> dict[str, Any]:
    command = [sys.executable, "-m", "frontrun.cli", sys.executable, "-m", "tests.support.thread_cases", name]
    process = subprocess.run(
        command,
        cwd=Path(__file__).parents[1],
        env={**os.environ, "TMPDIR": str(folder)},
        capture_output=True,
        timeout=120,
        check=False,
    )
    assert process.returncode == 0, process.stderr.decode()
    result: dict[str, Any] = orjson.loads(process.stdout.splitlines()[-1])
    print(f"\n{name}: {result['explored']} interleavings, holds: {result['holds']}\n{result['reason'] or ''}")
    return result


@pytest.mark.parametrize("name", CASES)
def test_invariant_holds_in_every_interleaving(name: str, tmp_path: Path) -> None:
    result = explore(name, tmp_path)
    assert result["holds"] is True, result
    assert 1 < result["explored"] < 1_000


@pytest.mark.parametrize("name", CASES)
def test_seeded_fault_is_found(name: str, tmp_path: Path) -> None:
    assert explore(f"{name}-faulty", tmp_path)["holds"] is False
