"""One short, seeded run of the soak test (bench/soak.py); its faults include older responses to renewals."""

from __future__ import annotations

from pathlib import Path

from bench.soak import soak

SEED, SECONDS = 3, 20.0


def test_fleet_keeps_invariants_and_recovers_from_scheduled_faults(tmp_path: Path) -> None:
    result = soak(SEED, SECONDS, tmp_path)
    assert "broken" not in result, result
    assert result["requests"]
