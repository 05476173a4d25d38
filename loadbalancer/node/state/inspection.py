"""A state file's verdict and contents as JSON, for `python -m loadbalancer state show`."""

from __future__ import annotations

import time
from pathlib import Path
from typing import NamedTuple

import orjson

from loadbalancer.node.state.errors import StateRejectedError
from loadbalancer.node.state.frame import FrameBody, decode_frame
from loadbalancer.node.state.rules import Rule


class StateDescription(NamedTuple):
    """A file's description as JSON text, and whether no rule rejects the file."""

    text: str
    accepted: bool


def describe_state(path: Path, node: str | None = None) -> StateDescription:
    """Describe a state file; where `node` is given, a file of another node is rejected."""
    try:
        body = _accepted_body(path.read_bytes(), node)
    except OSError as error:
        return _rejected(Rule.UNREADABLE, "error", str(error))
    except StateRejectedError as error:
        return _rejected(error.rule, "rule", error.rule.explanation)
    except ValueError:  # of the path itself, which may hold a null character
        return _rejected(Rule.MALFORMED, "rule", Rule.MALFORMED.explanation)
    text = orjson.dumps({**_summary(body), **body}, option=orjson.OPT_INDENT_2).decode()
    return StateDescription(text, accepted=True)


def _accepted_body(data: bytes, node: str | None) -> FrameBody:
    body = decode_frame(data)
    if node is not None and body.get("node") != node:
        raise StateRejectedError(Rule.ANOTHER_NODE)
    return body


def _rejected(rule: Rule, key: str, reason: str) -> StateDescription:
    return StateDescription(orjson.dumps({"verdict": rule.label, key: reason}).decode(), accepted=False)


def _summary(body: FrameBody) -> dict[str, object]:
    age_ms = time.time() * 1000.0 - float(body.get("written_ms", 0.0))
    listed = body.get("list", {})
    return {"verdict": "whole", "age_ms": round(age_ms), "listed": len(listed.get("targets", []))}
