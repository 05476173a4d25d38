"""Operators' requests that are forwarded to the list service: halt or roll back a route activation."""

from __future__ import annotations

from http import HTTPStatus
from typing import Final

from loadbalancer.node.admin.messages import AdminResponse
from loadbalancer.node.control.registry_client import RegistryClient

REQUEST_TIMEOUT_MS: Final = 3_000.0
MAX_VERSION_DIGITS: Final = 15  # of a route version's number


async def forward_request(client: RegistryClient, path: str, body: bytes) -> AdminResponse:
    """Forward a request, whose body is a route version's number or empty, to /fleet/`path`.

    Return the list service's response; 400 for another body and 503 if the list service can't be reached.
    """
    text = body.decode("ascii", "replace").strip()
    if text and not (text.isdigit() and len(text) <= MAX_VERSION_DIGITS):
        return AdminResponse(HTTPStatus.BAD_REQUEST, b"a version's number")
    try:
        response = await client.post(path, {"number": int(text)} if text else {}, REQUEST_TIMEOUT_MS)
    except (OSError, TimeoutError) as error:
        return AdminResponse(HTTPStatus.SERVICE_UNAVAILABLE, f"list service not reached: {error}".encode())
    return AdminResponse(response.status, response.body)
