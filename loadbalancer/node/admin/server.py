"""The admin server: one request to a connection, answered by the component of the node that it is for."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Awaitable
from http import HTTPStatus

from loadbalancer.node.address import Address
from loadbalancer.node.admin.connection import AdminConnection
from loadbalancer.node.admin.messages import AdminResponse, AdminRoutes

log = logging.getLogger("loadbalancer")

MAX_CONNECTIONS = 16  # of more, the oldest is ended: clients that finish no request keep no other out
MAX_LOGGED_BODY_BYTES = 80


class AdminServer:
    """Listens at the operators' address and dispatches their requests."""

    def __init__(self, routes: AdminRoutes) -> None:
        self.loop: asyncio.AbstractEventLoop = asyncio.get_running_loop()
        self._routes = routes
        self._connections: dict[AdminConnection, None] = {}  # in the order of their opening
        self._listener: asyncio.Server | None = None

    @property
    def address(self) -> Address:
        """The address that the server listens at, once it has been opened."""
        assert self._listener is not None
        host, port = self._listener.sockets[0].getsockname()[:2]
        return host, port

    async def open(self, address: Address) -> None:
        """Begin to listen; raise OSError if the address can't be used."""
        self._listener = await self.loop.create_server(lambda: AdminConnection(self), *address)

    def close(self) -> None:
        """End the listener and all connections at once."""
        if self._listener is not None:
            self._listener.close()
        for connection in list(self._connections):
            connection.abort()

    def connection_opened(self, connection: AdminConnection) -> None:
        """Count a connection in; of too many, end the oldest."""
        self._connections[connection] = None
        if len(self._connections) > MAX_CONNECTIONS:
            next(iter(self._connections)).abort()

    def connection_closed(self, connection: AdminConnection) -> None:
        """Count a connection out."""
        self._connections.pop(connection, None)

    def dispatch(self, method: bytes, target: bytes, body: bytes) -> AdminResponse | Awaitable[AdminResponse]:
        """Return the response to a request, now or later.

        A handler that raises fails its own request with 500, and no other.
        """
        path = target.partition(b"?")[0]
        handler = self._routes.get((method, path))
        if handler is None:
            return AdminResponse(self._status_without_handler(path))
        try:
            response = handler(body)
        except Exception:
            response = self._failed(path)
        if isinstance(response, AdminResponse):
            return self._logged(method, path, body, response)
        return self._later(method, path, body, response)

    def _status_without_handler(self, path: bytes) -> HTTPStatus:
        known = any(path == other for _, other in self._routes)
        return HTTPStatus.METHOD_NOT_ALLOWED if known else HTTPStatus.NOT_FOUND

    async def _later(
        self, method: bytes, path: bytes, body: bytes, response: Awaitable[AdminResponse]
    ) -> AdminResponse:
        try:
            return self._logged(method, path, body, await response)
        except Exception:
            return self._logged(method, path, body, self._failed(path))

    def _failed(self, path: bytes) -> AdminResponse:
        log.exception("admin request %s failed", path.decode("latin-1"))
        return AdminResponse(HTTPStatus.INTERNAL_SERVER_ERROR)

    def _logged(self, method: bytes, path: bytes, body: bytes, response: AdminResponse) -> AdminResponse:
        """The response, after a log line for a request that may change something."""
        if method != b"GET":
            text = body[:MAX_LOGGED_BODY_BYTES].decode("utf-8", "replace").strip()
            log.info("admin: %s %r: %d", path.decode("latin-1"), text, response.status)
        return response
