"""Nodes that know each other, as processes with faults between them: hearing, leases and shares."""

from __future__ import annotations

import time

from tests.fleet import until
from tests.members import Fleet
from tests.watch import Sample, apart, overtaken


def test_a_node_killed_is_failed_at_all_others_and_comes_back_under_a_new_incarnation(fleet: Fleet) -> None:
    with fleet.watched() as watch:
        before = fleet.status(4)["incarnation"]
        fleet.kill(4)
        fleet.until_all("n4 failed", lambda status: _verdict(status, "n4") == "failed", 0, 1, 2, 3)
        fleet.until_shared(0, 1, 2, 3)
        fleet.start(4)
        fleet.until_shared(0, 1, 2, 3, 4)
        assert fleet.status(4)["incarnation"] > before


def _verdict(status, name):
    return next((row["verdict"] for row in status["siblings"] if row["name"] == name), None)
