"""JSON answers over HTTP."""

from __future__ import annotations

import orjson

from loadbalancer.node.http.service_http import Answer


def json_answer(status: int, body: object) -> Answer:
    """An answer with this body."""
    return Answer(status, orjson.dumps(body))


def error_answer(status: int, reason: str) -> Answer:
    """An answer that says in one line why a call was not carried out."""
    return json_answer(status, {"error": reason})
