"""The list service and its agent answer and log what those of commit bf594b0 did, byte for byte.

tests/data/golden/README.md says how the messages were recorded.
"""

from __future__ import annotations

from pathlib import Path
from typing import Any

import orjson
import pytest

from loadbalancer.node.http.service_http import HttpClient, HttpRequest
from loadbalancer.registry.forwarding import forward
from loadbalancer.registry.renewal_relay import RenewalRelay, decode_renewals, encode_responses
from tests.support.golden import PRESENT
from tests.support.golden_registry import replay_agent, replay_instance
from tests.support.golden_relay import Functions, play

DATA = Path(__file__).parents[1] / "data" / "golden"
INSTANCES: dict[str, Any] = orjson.loads((DATA / "registry.json").read_bytes())


@pytest.mark.parametrize("case", INSTANCES)
def test_an_instance_answers_each_call_and_logs_what_it_asks_for(tmp_path: Path, case: str) -> None:
    assert replay_instance(PRESENT, tmp_path, INSTANCES[case]) == INSTANCES[case]


def test_an_agent_answers_each_call_and_asks_for_the_list(tmp_path: Path) -> None:
    case = orjson.loads((DATA / "agent.json").read_bytes())
    assert replay_agent(PRESENT, tmp_path, case) == case


def test_an_instance_passes_calls_and_renewals_on_to_the_one_that_leads() -> None:
    played = play(
        Functions(HttpClient, HttpRequest, forward, RenewalRelay, decode_renewals, encode_responses)
    )
    assert orjson.loads(orjson.dumps(played)) == orjson.loads((DATA / "relay.json").read_bytes())
