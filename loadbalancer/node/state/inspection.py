"""Describes a state file as JSON, for `python -m loadbalancer state show`."""

from __future__ import annotations

import math
import time
from pathlib import Path
from typing import NamedTuple

import orjson

from loadbalancer.node.state.errors import StateRejectedError
from loadbalancer.node.state.frame import FrameBody, decode_frame
from loadbalancer.node.state.rules import Rule
from loadbalancer.node.state.snapshot import decode_body

MS_PER_S = 1000.0


class StateDescription(NamedTuple):
    """Description of a file as JSON text, and whether the file is accepted."""

    text: str
    accepted: bool


def describe_state(path: Path, node: str | None = None) -> StateDescription:
    """Describe a state file; if `node` is given, a file of another node is rejected."""
    try:
        body = decode_frame(path.read_bytes())
        if node is not None and body.get("node") != node:
            return _rejected(Rule.ANOTHER_NODE, "rule", Rule.ANOTHER_NODE.explanation)
        return StateDescription(_describe(body), accepted=True)
    except OSError as error:
        return _rejected(Rule.UNREADABLE, "error", str(error))
    except StateRejectedError as error:
        return _rejected(error.rule, "rule", error.rule.explanation)
    except (TypeError, ValueError):  # for a key that JSON can't represent, or a null character in the path
        return _rejected(Rule.MALFORMED, "rule", Rule.MALFORMED.explanation)


def _rejected(rule: Rule, key: str, reason: str) -> StateDescription:
    return StateDescription(orjson.dumps({"verdict": rule.label, key: reason}).decode(), accepted=False)


def _describe(body: FrameBody) -> str:
    """Return a summary and the complete body; raise StateRejectedError if a node would find it malformed."""
    written_ms, state = decode_body(body)
    age_ms = time.time() * MS_PER_S - written_ms
    summary = {
        "verdict": "whole",
        "age_ms": round(age_ms) if math.isfinite(age_ms) else None,
        "listed": 0 if state.endpoint_list is None else len(state.endpoint_list.endpoints),
    }
    options = orjson.OPT_INDENT_2 | orjson.OPT_NON_STR_KEYS
    return orjson.dumps({**summary, **body}, default=repr, option=options).decode()
