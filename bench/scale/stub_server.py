"""A stub server for the data path: answers every request with the same small 200, at once.

    python -m bench.scale.stub_server PORT

One process for each, so that its work takes no turn of the caller's loop or of another server's.
"""

from __future__ import annotations

import asyncio
import sys

END_OF_HEAD = b"\r\n\r\n"
ANSWER = b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ndone"


class StubConnection(asyncio.Protocol):
    """Requests without a body, one after another."""

    def __init__(self) -> None:
        self._received = b""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport

    def data_received(self, data: bytes) -> None:
        *heads, self._received = (self._received + data).split(END_OF_HEAD)
        if heads:
            self._transport.write(ANSWER * len(heads))


async def serve(port: int) -> None:
    server = await asyncio.get_running_loop().create_server(StubConnection, "127.0.0.1", port)
    await server.serve_forever()


if __name__ == "__main__":
    asyncio.run(serve(int(sys.argv[1])))
