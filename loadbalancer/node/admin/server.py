"""The admin server: dispatches each request to the node component that handles its path."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Awaitable
from http import HTTPStatus

from loadbalancer.node.address import Address
from loadbalancer.node.admin.connection import MAX_REQUEST_BYTES, AdminConnection
from loadbalancer.node.admin.messages import AdminResponse, AdminRoutes

log = logging.getLogger("loadbalancer")

MAX_CONNECTIONS = 16  # with more, the oldest is closed, so that unfinished requests don't block new clients
MAX_LOGGED_BODY_BYTES = 80


class AdminServer:
    """Listens on the operators' address and dispatches requests to handlers."""

    def __init__(self, routes: AdminRoutes) -> None:
        self.loop: asyncio.AbstractEventLoop = asyncio.get_running_loop()
        self.read_buffer = bytearray(MAX_REQUEST_BYTES)
        self._routes = routes
        self._connections: dict[AdminConnection, None] = {}  # oldest first
        self._listener: asyncio.Server | None = None

    @property
    def address(self) -> Address:
        """The address that the server listens on; only valid after `open`."""
        assert self._listener is not None
        host, port = self._listener.sockets[0].getsockname()[:2]
        return host, port

    async def open(self, address: Address) -> None:
        """Start listening; raise OSError if the address can't be used."""
        self._listener = await self.loop.create_server(lambda: AdminConnection(self), *address)

    def stop_listening(self) -> None:
        """Free the address; connections that are open still get their responses."""
        if self._listener is not None:
            self._listener.close()

    def close(self) -> None:
        """Close the listener and all connections immediately."""
        self.stop_listening()
        for connection in list(self._connections):
            connection.abort()

    def connection_opened(self, connection: AdminConnection) -> None:
        """Add a connection; close the oldest one if there are more than MAX_CONNECTIONS."""
        self._connections[connection] = None
        if len(self._connections) > MAX_CONNECTIONS:
            next(iter(self._connections)).abort()

    def connection_closed(self, connection: AdminConnection) -> None:
        """Remove a connection."""
        self._connections.pop(connection, None)

    def dispatch(self, method: bytes, target: bytes, body: bytes) -> AdminResponse | Awaitable[AdminResponse]:
        """Return the response to a request, or an awaitable of it.

        An exception in a handler is logged and gives a response with status 500.
        """
        path = target.partition(b"?")[0]
        handler = self._routes.get((method, path))
        if handler is None:
            return AdminResponse(self._status_without_handler(path))
        try:
            response = handler(body)
        except Exception:
            response = self._failure_response(path)
        if isinstance(response, AdminResponse):
            return self._log_and_return(method, path, body, response)
        return self._await_response(method, path, body, response)

    def _status_without_handler(self, path: bytes) -> HTTPStatus:
        known = any(path == other for _, other in self._routes)
        return HTTPStatus.METHOD_NOT_ALLOWED if known else HTTPStatus.NOT_FOUND

    async def _await_response(
        self, method: bytes, path: bytes, body: bytes, response: Awaitable[AdminResponse]
    ) -> AdminResponse:
        try:
            return self._log_and_return(method, path, body, await response)
        except Exception:
            return self._log_and_return(method, path, body, self._failure_response(path))

    def _failure_response(self, path: bytes) -> AdminResponse:
        log.exception("admin request %s failed", path.decode("latin-1"))
        return AdminResponse(HTTPStatus.INTERNAL_SERVER_ERROR)

    def _log_and_return(
        self, method: bytes, path: bytes, body: bytes, response: AdminResponse
    ) -> AdminResponse:
        """Return the response; log requests other than GET, as they may change the node's state."""
        if method != b"GET":
            text = body[:MAX_LOGGED_BODY_BYTES].decode("utf-8", "replace").strip()
            log.info("admin: %s %r: %d", path.decode("latin-1"), text, response.status)
        return response
