"""JSON responses over HTTP."""

from __future__ import annotations

import orjson

from loadbalancer.node.http.service_server import HttpResponse


def json_response(status: int, body: object) -> HttpResponse:
    """Return a response with this body as JSON."""
    return HttpResponse(status, orjson.dumps(body))


def error_response(status: int, reason: str) -> HttpResponse:
    """Return a response whose `error` gives in one line the reason why the call failed."""
    return json_response(status, {"error": reason})
