"""State files with a valid digest and invalid fields: their description and a node's start with them."""

from __future__ import annotations

from pathlib import Path

import msgpack
import orjson
import pytest

from loadbalancer.balancing.events import LearnedState
from loadbalancer.node.discovery.response import DiscoveryResponse
from loadbalancer.node.state.frame import FRAME_HEADER, encode_frame
from loadbalancer.node.state.inspection import describe_state
from loadbalancer.node.state.restore import read_state
from loadbalancer.node.state.rules import Rule
from loadbalancer.node.state.snapshot import encode_state

NOW_MS = 1_764_000_000_000.0


def stored(**fields: object) -> bytes:
    """Return a valid state file with these fields replaced or added."""
    learned = LearnedState(
        baseline_ratio=1.0,
        latency_ratio=1.0,
        cursor=3,
        completion_rate=10.0,
        send_rate=10.0,
        peak_completion_rate=12.0,
        mean_latency_objective_ms=100.0,
        class_latency_ms={},
        endpoint_latency_ratios={},
    )
    data = encode_state("n0", NOW_MS, learned, {}, DiscoveryResponse(2, True, (), {}))
    body = msgpack.unpackb(data[FRAME_HEADER.size :])
    return encode_frame(msgpack.packb(body | fields))


@pytest.mark.parametrize(
    "fields",
    [
        {"written_ms": None},
        {"written_ms": []},
        {"written_ms": {}},
        {"list": []},
        {"list": None},
        {"list": {"targets": 5}},
        {"learned": []},
        {"learned": {"base": b"x"}},
        {"out": []},
        {"out": {"s-1": []}},
    ],
    ids=str,
)
def test_invalid_field_is_malformed_and_does_not_prevent_start(
    tmp_path: Path, fields: dict[str, object]
) -> None:
    path = tmp_path / "state"
    path.write_bytes(stored(**fields))
    description = describe_state(path)
    assert (description.accepted, orjson.loads(description.text)["verdict"]) == (False, Rule.MALFORMED.label)
    assert read_state(path, "n0", NOW_MS, 0).violated_rules == [Rule.MALFORMED]


@pytest.mark.parametrize(
    "fields",
    [{"more": b"\xff"}, {"more": {1: 2}}, {"written_ms": float("nan")}, {"written_ms": float("inf")}],
    ids=str,
)
def test_value_that_json_cannot_represent_is_described(tmp_path: Path, fields: dict[str, object]) -> None:
    path = tmp_path / "state"
    path.write_bytes(stored(**fields))
    description = describe_state(path)
    assert (description.accepted, orjson.loads(description.text)["verdict"]) == (True, "whole")
    read_state(path, "n0", NOW_MS, 0)


def test_valid_file_is_described_with_its_contents(tmp_path: Path) -> None:
    path = tmp_path / "state"
    path.write_bytes(stored())
    description = orjson.loads(describe_state(path, "n0").text)
    assert (description["verdict"], description["listed"], description["learned"]["cursor"]) == (
        "whole",
        0,
        3,
    )
