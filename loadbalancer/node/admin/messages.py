"""Requests and responses of the admin server."""

from __future__ import annotations

from collections.abc import Awaitable, Callable, Mapping
from dataclasses import dataclass
from http import HTTPStatus


@dataclass(slots=True, frozen=True)
class AdminResponse:
    """The answer to an operator's request: an HTTP status and a text in UTF-8."""

    status: int
    body: bytes = b""


# Given the request's body; a response that others have to give first may be awaited.
AdminHandler = Callable[[bytes], AdminResponse | Awaitable[AdminResponse]]
AdminRoutes = Mapping[tuple[bytes, bytes], AdminHandler]  # by method and path


def ok_or_unavailable(ok: bool) -> AdminResponse:
    """Return a response without a body: 200 or 503."""
    return AdminResponse(HTTPStatus.OK if ok else HTTPStatus.SERVICE_UNAVAILABLE)
