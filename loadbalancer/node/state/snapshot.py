"""Contents of a node's state file: its learned state, operators' ejections and its last endpoint list.

`encode_state` returns the file's bytes, `decode_body` reads a body without applying rules, and `verify_state`
applies the rules of `rules.py`.
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
MAX_CLOCK_SKEW_MS = 1000.0  # if a file was written further in the future, the clock was set back since


@dataclass(slots=True)
class RestoredState:
    """The accepted parts of a state file; all are None or empty for a cold start."""

    age_ms: float = math.inf  # since the file was written
    learned: LearnedState | None = None
    ejected_since_ms: dict[str, float] = field(default_factory=dict)  # Unix ms, by endpoint
    endpoint_list: DiscoveryResponse | None = None
    violated_rules: list[Rule] = field(default_factory=list)  # rules that rejected the file or a part of it


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


def verify_state(data: bytes, node: str, now_ms: float, configured_revision: int) -> RestoredState:
    """Return the parts of a file that the rules accept for this node at `now_ms` (Unix time).

    `configured_revision` is the revision of the endpoint list in the node's configuration. Raise
    StateRejectedError if a rule rejects the complete file.
    """
    body = decode_frame(data)
    if body.get("node") != node:
        raise StateRejectedError(Rule.ANOTHER_NODE)
    written_ms, restored = decode_body(body)
    if not math.isfinite(written_ms) or written_ms > now_ms + MAX_CLOCK_SKEW_MS:
        return RestoredState(ejected_since_ms=restored.ejected_since_ms, violated_rules=[Rule.FUTURE])
    restored.age_ms = now_ms - written_ms
    rule = _endpoint_list_violation(restored, configured_revision)
    if rule is not None:
        restored.endpoint_list = None
        restored.violated_rules.append(rule)
    return restored


def decode_body(body: FrameBody) -> tuple[float, RestoredState]:
    """Return when the file was written (Unix ms) and its contents; raise StateRejectedError if malformed."""
    try:
        written_ms = float(body["written_ms"])
        return written_ms, RestoredState(
            ejected_since_ms={str(name): float(since) for name, since in body["out"].items()},
            learned=decode_learned(body["learned"]),
            endpoint_list=decode_response(body["list"]),
        )
    except (KeyError, TypeError, ValueError, AttributeError) as error:
        raise StateRejectedError(Rule.MALFORMED) from error


def _endpoint_list_violation(restored: RestoredState, configured_revision: int) -> Rule | None:
    """Return the rule that rejects the list of an otherwise accepted file, or None if the list is usable."""
    if restored.age_ms > MAX_LIST_AGE_MS:
        return Rule.LIST_OLD
    if restored.endpoint_list is None or restored.endpoint_list.revision <= configured_revision:
        return Rule.LIST_BEHIND
    return None
