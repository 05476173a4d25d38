"""Golden test: a node sends the same messages as the node of commit bf594b0 to clients, servers, operators,
siblings and the list service.

See tests/data/golden/README.md for how the messages were recorded.
"""

from __future__ import annotations

from pathlib import Path
from typing import Any

import orjson
import pytest

from tests.support.golden import PRESENT
from tests.support.golden_node import replay_node

DATA = Path(__file__).parents[1] / "data" / "golden"
NODES: dict[str, Any] = orjson.loads((DATA / "node.json").read_bytes())


@pytest.mark.parametrize("case", NODES)
def test_node_messages_match_recording(tmp_path: Path, case: str) -> None:
    """Regression (in a group): a list that came late on a busy machine changed the status of routes."""
    replayed, recorded = replay_node(PRESENT, tmp_path, NODES[case]), NODES[case]
    for replayed_step, recorded_step in zip(replayed["steps"], recorded["steps"], strict=True):
        assert replayed_step == recorded_step
    assert replayed == recorded
