"""Translates client HTTP requests into balancer events and into the HTTP requests sent to endpoints.

The headers are those of the protocol (WIRE, PROTOCOL): Req-Id, Req-Deadline-Ms, Req-Cost (us), Req-Owner (the
tenant), Req-Retry and Idempotency-Key.
"""

from __future__ import annotations

import math
from collections.abc import Mapping
from http import HTTPStatus
from typing import NamedTuple
from urllib.parse import unquote_to_bytes

from loadbalancer.balancing.events import Request
from loadbalancer.node.listener.errors import BadRequestError
from loadbalancer.node.listener.inbound_request import InboundRequest
from loadbalancer.service_settings import Effect, ServiceClass

RESPONSE_MARGIN_S = 0.015  # responses are sent this long before the client's deadline
MAX_TIMEOUT_FACTOR = 10.0  # max request timeout, as a multiple of its class's client timeout
MIN_FORWARDED_DEADLINE_MS = 1

HOP_BY_HOP = frozenset(
    b"connection keep-alive proxy-connection te trailer transfer-encoding upgrade expect".split()
) | {b"content-length", b"req-deadline-ms"}

# Endpoints need these headers even if a client's Connection header names them as hop-by-hop.
ALWAYS_FORWARDED = frozenset({b"req-id", b"host"})


class ParsedRequest(NamedTuple):
    """The balancer's event for a request, and the request's client timeout."""

    request: Request
    client_timeout_s: float  # starts at the request's last byte


def parse_request(
    inbound: InboundRequest, classes: Mapping[str, ServiceClass], received_ms: float
) -> ParsedRequest:
    """Translate a request whose last byte arrived at Unix time `received_ms`; raise BadRequestError."""
    headers = inbound.headers
    path = inbound.target.partition(b"?")[0]
    parts = path.split(b"/")
    if len(parts) <= 1:
        raise BadRequestError(HTTPStatus.NOT_FOUND)
    name = unquote_to_bytes(parts[1]) if b"%" in parts[1] else parts[1]
    service_class = classes.get(name.decode("utf-8", "replace"))
    if service_class is None:
        raise BadRequestError(HTTPStatus.NOT_FOUND)
    if inbound.method != (b"GET" if service_class.effect is Effect.IDEMPOTENT else b"POST"):
        raise BadRequestError(HTTPStatus.METHOD_NOT_ALLOWED)
    request_id = headers.get(b"req-id", b"").decode("latin-1")
    lacks_key = service_class.effect is Effect.IDEMPOTENCY_KEY and b"idempotency-key" not in headers
    if not request_id or lacks_key:
        raise BadRequestError(HTTPStatus.BAD_REQUEST)
    timeout_ms = service_class.client_timeout_ms
    if (deadline_ms := _number(headers, b"req-deadline-ms")) is not None:
        timeout_ms = min(deadline_ms, MAX_TIMEOUT_FACTOR * service_class.client_timeout_ms)
    cost_us = _number(headers, b"req-cost")
    timeout_ms -= RESPONSE_MARGIN_S * 1000.0
    owner = headers.get(b"req-owner")
    request = Request(
        id=request_id,
        service=service_class.name,
        deadline_ms=received_ms + timeout_ms,
        tenant=owner.decode("utf-8", "replace") if owner else None,
        cost_hint_ms=None if cost_us is None else cost_us / 1000.0,
        is_retry=headers.get(b"req-retry") == b"1",
        receiving=inbound.receiving,
    )
    return ParsedRequest(request, timeout_ms / 1000.0)


def _number(headers: dict[bytes, bytes], name: bytes) -> float | None:
    """Return a header's number, or None if absent; raise BadRequestError if not finite or negative."""
    text = headers.get(name)
    if text is None:
        return None
    try:
        value = float(text)
    except ValueError:
        raise BadRequestError(HTTPStatus.BAD_REQUEST) from None
    if not math.isfinite(value) or value < 0.0:
        raise BadRequestError(HTTPStatus.BAD_REQUEST)
    return value


def encode_forwarded(inbound: InboundRequest, timeout_s: float, streamed: bool) -> bytes:
    """Return the bytes of the request to send to an endpoint; the body is omitted if it is streamed.

    `timeout_s` is sent as the request's deadline.
    """
    lines = [inbound.method + b" " + inbound.target + b" HTTP/1.1"]
    hop_by_hop = {name.strip() for name in inbound.headers.get(b"connection", b"").lower().split(b",")}
    lines += [
        name + b": " + value
        for name, value in inbound.headers.items()
        if name not in HOP_BY_HOP and (name not in hop_by_hop or name in ALWAYS_FORWARDED)
    ]
    lines.append(b"req-deadline-ms: %d" % max(MIN_FORWARDED_DEADLINE_MS, int(timeout_s * 1000.0)))
    body = b"" if streamed else inbound.body.complete_bytes or b""
    if streamed and inbound.content_length is None:
        lines.append(b"transfer-encoding: chunked")
    elif streamed or body or inbound.method != b"GET":
        length = inbound.content_length if streamed and inbound.content_length else len(body)
        lines.append(b"content-length: %d" % length)
    return b"\r\n".join(lines) + b"\r\n\r\n" + body
