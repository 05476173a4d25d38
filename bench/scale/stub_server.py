"""A stub server for the data path that responds to every request with the same small 200, immediately.

    python -m bench.scale.stub_server PORT

Each server is a process of its own, so that its work delays neither the client nor another server.
"""

from __future__ import annotations

import asyncio
import sys

END_OF_HEAD = b"\r\n\r\n"
RESPONSE = b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ndone"


class StubConnection(asyncio.Protocol):
    """A connection that receives requests without a body, one after another."""

    def __init__(self) -> None:
        self._received = b""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport

    def data_received(self, data: bytes) -> None:
        *heads, self._received = (self._received + data).split(END_OF_HEAD)
        if heads:
            self._transport.write(RESPONSE * len(heads))


async def serve(port: int) -> None:
    """Serve on this port until cancelled."""
    server = await asyncio.get_running_loop().create_server(StubConnection, "127.0.0.1", port)
    await server.serve_forever()


if __name__ == "__main__":
    asyncio.run(serve(int(sys.argv[1])))
