"""Operators' requests that the list service decides: to halt a route activation, or to roll one back."""

from __future__ import annotations

from http import HTTPStatus
from typing import Final

from loadbalancer.node.admin.messages import AdminResponse
from loadbalancer.node.control.registry_client import RegistryClient

REQUEST_TIMEOUT_MS: Final = 3_000.0
MAX_VERSION_DIGITS: Final = 15  # of a route version's number


async def forward_request(client: RegistryClient, path: str, body: bytes) -> AdminResponse:
    """Forward a request with a version's number, or none, to /fleet/`path`; its answer is the operator's."""
    text = body.decode("ascii", "replace").strip()
    if text and not (text.isdigit() and len(text) <= MAX_VERSION_DIGITS):
        return AdminResponse(HTTPStatus.BAD_REQUEST, b"a version's number")
    try:
        reply = await client.post(path, {"number": int(text)} if text else {}, REQUEST_TIMEOUT_MS)
    except (OSError, TimeoutError) as error:
        return AdminResponse(HTTPStatus.SERVICE_UNAVAILABLE, f"list service not reached: {error}".encode())
    return AdminResponse(reply.status, reply.body)
