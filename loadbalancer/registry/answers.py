"""JSON answers over HTTP."""

from __future__ import annotations

import orjson

from loadbalancer.node.http.service_http import HttpResponse


def json_answer(status: int, body: object) -> HttpResponse:
    """An answer with this body."""
    return HttpResponse(status, orjson.dumps(body))


def error_answer(status: int, reason: str) -> HttpResponse:
    """An answer that says in one line why a call was not carried out."""
    return json_answer(status, {"error": reason})
