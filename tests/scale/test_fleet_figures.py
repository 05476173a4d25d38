"""The benches of the fleet call each other with the arguments that they take."""

from __future__ import annotations

from pathlib import Path
from unittest.mock import create_autospec

import pytest

from bench import fleet_detection


def test_the_figure_of_the_list_service_calls_its_bench(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    renewals = create_autospec(fleet_detection.renewals)
    renewals.return_value = {"bench": "renewals", "late": 0}
    monkeypatch.setattr(fleet_detection, "renewals", renewals)
    assert list(fleet_detection.service(tmp_path, 200, 20.0, 5_000)) == [
        {"figure": "service", "late": 0, "goal": "no renewal late", "met": True}
    ]
