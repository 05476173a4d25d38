"""The list service and its agent send and log the same bytes as those of commit bf594b0.

tests/data/golden/README.md explains how the messages were recorded.
"""

from __future__ import annotations

from pathlib import Path
from typing import Any

import orjson
import pytest

from loadbalancer.node.http.service_client import HttpClient
from loadbalancer.node.http.service_server import HttpRequest
from loadbalancer.registry.forwarding import forward
from loadbalancer.registry.renewal_relay import RenewalRelay, decode_renewals, encode_responses
from tests.support.golden import PRESENT
from tests.support.golden_registry import replay_agent, replay_instance
from tests.support.golden_relay import Functions, play

DATA = Path(__file__).parents[1] / "data" / "golden"
INSTANCES: dict[str, Any] = orjson.loads((DATA / "registry.json").read_bytes())


@pytest.mark.parametrize("case", INSTANCES)
def test_instance_responses_and_log_entries_are_unchanged(tmp_path: Path, case: str) -> None:
    assert replay_instance(PRESENT, tmp_path, INSTANCES[case]) == INSTANCES[case]


def test_agent_responses_and_calls_are_unchanged(tmp_path: Path) -> None:
    case = orjson.loads((DATA / "agent.json").read_bytes())
    assert replay_agent(PRESENT, tmp_path, case) == case


def test_calls_and_renewals_forwarded_to_leader_are_unchanged() -> None:
    played = play(
        Functions(HttpClient, HttpRequest, forward, RenewalRelay, decode_renewals, encode_responses)
    )
    assert orjson.loads(orjson.dumps(played)) == orjson.loads((DATA / "relay.json").read_bytes())
