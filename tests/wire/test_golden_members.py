"""Members send each other the payloads that commit bf594b0 sent, and read them alike.

tests/data/golden/README.md says how the messages were recorded.
"""

from __future__ import annotations

from pathlib import Path

import orjson

from loadbalancer.endpoints import AttemptResult
from loadbalancer.membership import FailureDetector, QuotaStatus, Sibling
from loadbalancer.staleness import ClockOffsets, ConfidenceTracker, FreshnessTable
from tests.support.golden_members import Cores, play

DATA = Path(__file__).parents[1] / "data" / "golden"


def test_members_say_the_same_of_the_same_events() -> None:
    cores = Cores(
        FailureDetector, Sibling, QuotaStatus, FreshnessTable, ClockOffsets, ConfidenceTracker, AttemptResult
    )
    played = orjson.loads(orjson.dumps(play(cores)))
    assert played == orjson.loads((DATA / "members.json").read_bytes())
