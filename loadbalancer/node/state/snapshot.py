"""The contents of a node's state file: what it has learned, operators' ejections and its last endpoint list.

`encode_state` makes the file's bytes, `decode_body` reads what they hold, `verify_state` applies the rules of
`rules.py` to them.
"""

from __future__ import annotations

import math
from dataclasses import dataclass, field

import msgpack

from loadbalancer.balancing.events import LearnedState
from loadbalancer.node.discovery.response import DiscoveryResponse, decode_response, encode_response
from loadbalancer.node.state.errors import StateRejectedError
from loadbalancer.node.state.frame import FORMAT_VERSION, FrameBody, decode_frame, encode_frame
from loadbalancer.node.state.learned_codec import decode_learned, encode_learned
from loadbalancer.node.state.rules import MAX_LIST_AGE_MS, Rule

PROGRAM_VERSION = "0.1.0"
MAX_CLOCK_SKEW_MS = 1000.0  # a file written further in the future is older than a step back of the clock


@dataclass(slots=True)
class RestoredState:
    """What a state file gives; for a cold start, every part is None or empty."""

    age_ms: float = math.inf  # since the file was written
    learned: LearnedState | None = None
    ejected_since_ms: dict[str, float] = field(default_factory=dict)  # Unix ms, by endpoint
    endpoint_list: DiscoveryResponse | None = None
    violated_rules: list[Rule] = field(default_factory=list)  # that rejected the file or a part of it


def encode_state(
    node: str,
    now_ms: float,
    learned: LearnedState,
    ejected_since_ms: dict[str, float],
    endpoint_list: DiscoveryResponse,
) -> bytes:
    """Return the bytes of the state file of `node`, written at `now_ms` (Unix time)."""
    body: bytes = msgpack.packb(
        {
            "format": FORMAT_VERSION,
            "program": PROGRAM_VERSION,
            "node": node,
            "written_ms": now_ms,
            "learned": encode_learned(learned),
            "out": ejected_since_ms,
            "list": encode_response(endpoint_list),
        }
    )
    return encode_frame(body)


def verify_state(data: bytes, node: str, now_ms: float, given_revision: int) -> RestoredState:
    """Return what the rules accept of a file's bytes for this node at `now_ms` (Unix time).

    `given_revision` is that of the endpoint list in the node's configuration. Raise StateRejectedError where
    a rule rejects the whole file.
    """
    body = decode_frame(data)
    if body.get("node") != node:
        raise StateRejectedError(Rule.ANOTHER_NODE)
    written_ms, found = decode_body(body)
    if not math.isfinite(written_ms) or written_ms > now_ms + MAX_CLOCK_SKEW_MS:
        return RestoredState(ejected_since_ms=found.ejected_since_ms, violated_rules=[Rule.FUTURE])
    found.age_ms = now_ms - written_ms
    rule = _rule_against_list(found, given_revision)
    if rule is not None:
        found.endpoint_list = None
        found.violated_rules.append(rule)
    return found


def decode_body(body: FrameBody) -> tuple[float, RestoredState]:
    """When the file was written (Unix ms), and all that it holds; StateRejectedError for a malformed body."""
    try:
        written_ms = float(body["written_ms"])
        return written_ms, RestoredState(
            ejected_since_ms={str(name): float(since) for name, since in body["out"].items()},
            learned=decode_learned(body["learned"]),
            endpoint_list=decode_response(body["list"]),
        )
    except (KeyError, TypeError, ValueError, AttributeError) as error:
        raise StateRejectedError(Rule.MALFORMED) from error


def _rule_against_list(found: RestoredState, given_revision: int) -> Rule | None:
    """The rule that rejects the list of a file that is otherwise accepted; None if it may be used."""
    if found.age_ms > MAX_LIST_AGE_MS:
        return Rule.LIST_OLD
    if found.endpoint_list is None or found.endpoint_list.revision <= given_revision:
        return Rule.LIST_BEHIND
    return None
