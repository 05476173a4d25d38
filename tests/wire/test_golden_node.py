"""A node says to callers, servers, operators, siblings and the list service what that of commit bf594b0 said.

tests/data/golden/README.md says how the messages were recorded.
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
def test_a_node_says_the_same_to_all_that_it_talks_to(tmp_path: Path, case: str) -> None:
    assert replay_node(PRESENT, tmp_path, NODES[case]) == NODES[case]
