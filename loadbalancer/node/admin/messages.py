"""Responses and handlers of the admin server."""

from __future__ import annotations

from collections.abc import Awaitable, Callable, Mapping
from dataclasses import dataclass
from http import HTTPStatus


@dataclass(slots=True, frozen=True)
class AdminResponse:
    """The response to an operator's request: an HTTP status and a UTF-8 text."""

    status: int
    body: bytes = b""


# Called with the request body; an awaitable is for a response that depends on another program.
AdminHandler = Callable[[bytes], AdminResponse | Awaitable[AdminResponse]]
AdminRoutes = Mapping[tuple[bytes, bytes], AdminHandler]  # by method and path


def ok_or_unavailable(ok: bool) -> AdminResponse:
    """Return a response without a body: 200 or 503."""
    return AdminResponse(HTTPStatus.OK if ok else HTTPStatus.SERVICE_UNAVAILABLE)
