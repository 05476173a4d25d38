"""One run of the soak (bench/soak.py), short and seeded. Among its faults are older answers to renewals."""

from __future__ import annotations

from pathlib import Path

from bench.soak import soak

SEED, SECONDS = 3, 20.0


def test_a_fleet_under_a_schedule_of_faults_keeps_every_rule_and_is_whole_again(tmp_path: Path) -> None:
    row = soak(SEED, SECONDS, tmp_path)
    assert "broken" not in row, row
    assert row["requests"]
