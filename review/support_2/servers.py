"""Stand-ins of servers: each request is answered by the case's own coroutine."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable

from review.support_2.wire import HOST, Message, read_message

Answer = Callable[["Server", Message, asyncio.StreamWriter], Awaitable[None]]


class Server:
    """A server with connections that are kept alive; `answer` writes the answer to one request."""

    def __init__(self, name: str, answer: Answer) -> None:
        self.name = name
        self.port = 0
        self._answer = answer
        self._server: asyncio.Server | None = None

    async def start(self) -> None:
        """Listen at a free port."""
        self._server = await asyncio.start_server(self._serve, HOST, 0)
        self.port = self._server.sockets[0].getsockname()[1]

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while True:
                await self._answer(self, await read_message(reader), writer)
                await writer.drain()
        except (OSError, EOFError):
            pass  # the node has closed the connection
        finally:
            writer.close()
