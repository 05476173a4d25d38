"""One short, seeded run of the soak test of a node among crowds (bench/crowd_soak.py)."""

from __future__ import annotations

from pathlib import Path

import pytest

from bench.crowd_soak import soak

SECONDS = 6.0


@pytest.mark.parametrize("seed", [4, 12])  # without and with failing system calls
def test_node_keeps_its_rules_among_crowds_signals_and_faults(seed: int, tmp_path: Path) -> None:
    record = soak(seed, SECONDS, tmp_path)
    assert "broken" not in record, record
