"""Fleet benches call each other with matching arguments; a mismatch would fail only in a long bench run."""

from __future__ import annotations

from pathlib import Path
from unittest.mock import create_autospec

import pytest

from bench import fleet_detection


def test_list_service_metric_calls_renewals_bench_with_its_arguments(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    renewals = create_autospec(fleet_detection.renewals)
    renewals.return_value = {"bench": "renewals", "late": 0}
    monkeypatch.setattr(fleet_detection, "renewals", renewals)
    assert list(fleet_detection.service(tmp_path, 200, 20.0, 5_000)) == [
        {"figure": "service", "late": 0, "goal": "no renewal late", "met": True}
    ]
