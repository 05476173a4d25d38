"""Requests as they come from callers and as they go on to servers."""

from __future__ import annotations

import math
from collections.abc import Mapping
from urllib.parse import unquote_to_bytes

from loadbalancer.balancing.events import Request
from loadbalancer.node.listener.inbound_request import InboundRequest
from loadbalancer.service_settings import Effect, ServiceClass

RESPONSE_MARGIN_S = 0.015  # an answer leaves this long before the client's time is up

HOP_BY_HOP = frozenset(
    b"connection keep-alive proxy-connection te trailer transfer-encoding upgrade expect".split()
) | {b"content-length", b"req-deadline-ms"}

ALWAYS_FORWARDED = frozenset(
    {b"req-id", b"host"}
)  # even if a caller names them as hop-by-hop: a server must see them


class BadRequestError(Exception):
    """A request that the module is not asked about, and the status that answers it."""

    def __init__(self, status: int) -> None:
        super().__init__(status)
        self.status = status


def parse_request(
    call: InboundRequest, classes: Mapping[str, ServiceClass], arrived_ms: float
) -> tuple[Request, float]:
    """The module's view of a request, and for how many seconds from its last byte its client waits."""
    headers = call.headers
    path = call.target.partition(b"?")[0]
    parts = path.split(b"/")
    kind = classes.get(unquote_to_bytes(parts[1]).decode("utf-8", "replace")) if len(parts) > 1 else None
    if kind is None:
        raise BadRequestError(404)
    if call.method != (b"GET" if kind.effect is Effect.IDEMPOTENT else b"POST"):
        raise BadRequestError(405)
    name = headers.get(b"req-id", b"").decode("latin-1")
    keyless = kind.effect is Effect.IDEMPOTENCY_KEY and b"idempotency-key" not in headers
    if not name or keyless:
        raise BadRequestError(400)
    give_up_ms = kind.client_timeout_ms
    if (deadline := _number(headers, b"req-deadline-ms")) is not None:
        give_up_ms = min(deadline, 10.0 * kind.client_timeout_ms)
    cost_us = _number(headers, b"req-cost")
    give_up_ms -= RESPONSE_MARGIN_S * 1000.0
    owner = headers.get(b"req-owner")
    request = Request(
        id=name,
        service=kind.name,
        deadline_ms=arrived_ms + give_up_ms,
        tenant=owner.decode("utf-8", "replace") if owner else None,
        cost_hint_ms=None if cost_us is None else cost_us / 1000.0,
        is_retry=headers.get(b"req-retry") == b"1",
        receiving=call.receiving,
    )
    return request, give_up_ms / 1000.0


def _number(headers: dict[bytes, bytes], name: bytes) -> float | None:
    """A header's figure, None without one."""
    text = headers.get(name)
    if text is None:
        return None
    try:
        value = float(text)
    except ValueError:
        raise BadRequestError(400) from None
    if not math.isfinite(value) or value < 0.0:
        raise BadRequestError(400)
    return value


def encode_forwarded(call: InboundRequest, wait_s: float, streamed: bool) -> bytes:
    """The request as it goes to a server that is waited for this long, without a body that is streamed."""
    lines = [call.method + b" " + call.target + b" HTTP/1.1"]
    named = {name.strip() for name in call.headers.get(b"connection", b"").lower().split(b",")}
    lines += [
        name + b": " + value
        for name, value in call.headers.items()
        if name not in HOP_BY_HOP and (name not in named or name in ALWAYS_FORWARDED)
    ]
    lines.append(b"req-deadline-ms: %d" % max(1, int(wait_s * 1000.0)))
    body = b"" if streamed else call.body.complete_bytes or b""
    if streamed and call.content_length is None:
        lines.append(b"transfer-encoding: chunked")
    elif streamed or body or call.method != b"GET":
        lines.append(
            b"content-length: %d" % (call.content_length if streamed and call.content_length else len(body))
        )
    return b"\r\n".join(lines) + b"\r\n\r\n" + body
