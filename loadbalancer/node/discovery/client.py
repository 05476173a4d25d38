"""A client of discovery, with one persistent connection and one poll at a time."""

from __future__ import annotations

import asyncio
from http import HTTPStatus

import orjson

from loadbalancer.node.address import Address
from loadbalancer.node.discovery.errors import DiscoveryConnectionError, DiscoveryStatusError
from loadbalancer.node.discovery.poll_policy import CONNECT_TIMEOUT_S
from loadbalancer.node.discovery.response import DiscoveryResponse, decode_response
from loadbalancer.node.http.client_connection import ClientConnection
from loadbalancer.node.http.response import Response

MAX_LIST_BYTES = 16 * 1024 * 1024
LIST_PATH = "/discovery/hosts"


class _PollExchange:
    """One poll on a connection, with a future for its response."""

    def __init__(self) -> None:
        self.response: asyncio.Future[Response] = asyncio.get_running_loop().create_future()

    def on_request_sent(self) -> None:
        """Do nothing: a poll may always be repeated, whether or not it was sent."""

    def on_stream_started(self, response: Response) -> None:
        """Do nothing; never called, since lists are received as complete bodies."""

    def on_response(self, response: Response) -> None:
        """Set the result to the complete response."""
        if not self.response.done():
            self.response.set_result(response)

    def on_connection_lost(self, written: bool) -> None:
        """Fail the poll, since the connection has ended before the response was complete."""
        if not self.response.done():
            self.response.set_exception(DiscoveryConnectionError())


class DiscoveryClient:
    """Polls discovery at one address."""

    def __init__(self, address: Address) -> None:
        self.address = address
        self._connection: ClientConnection | None = None

    async def full_list(self) -> DiscoveryResponse:
        """Return the complete list; raise the same errors as `poll`."""
        return await self._get(LIST_PATH)

    async def poll(self, since: int, wait_ms: int) -> DiscoveryResponse:
        """Return the changes after revision `since`, or the complete list.

        Discovery waits up to `wait_ms` for a change. Raise OSError if discovery can't be reached,
        TimeoutError if no connection is established in time, and DiscoveryError if the response can't be
        used. The caller limits the time that the response may take.
        """
        return await self._get(f"{LIST_PATH}?since={since}&timeout_ms={wait_ms}")

    def disconnect(self) -> None:
        """Close the connection; the next poll opens another."""
        if self._connection is not None:
            self._connection.abort()
            self._connection = None

    async def _get(self, target: str) -> DiscoveryResponse:
        connection = await self._connected()
        exchange = _PollExchange()
        host, port = self.address
        connection.start(f"GET {target} HTTP/1.1\r\nHost: {host}:{port}\r\n\r\n".encode(), exchange)
        response = await exchange.response
        if response.status != HTTPStatus.OK:
            raise DiscoveryStatusError(response.status)
        return decode_response(orjson.loads(response.body))

    async def _connected(self) -> ClientConnection:
        if self._connection is None or not self._connection.usable:
            self.disconnect()
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                _, self._connection = await asyncio.get_running_loop().create_connection(
                    lambda: ClientConnection(lambda _: None, MAX_LIST_BYTES), *self.address
                )
        return self._connection
