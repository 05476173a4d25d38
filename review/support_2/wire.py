"""HTTP/1.1 on asyncio streams, as the stand-ins and the clients of the cases need it."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field

HOST = "127.0.0.1"
HEAD_END = b"\r\n\r\n"
PIECE_BYTES = 65_536


@dataclass(slots=True)
class Message:
    """A request or a response: its first line, its headers by lower-case name, and its body."""

    first_line: str
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b""

    @property
    def status(self) -> int:
        """The status of a response."""
        return int(self.first_line.split(" ")[1])

    @property
    def target(self) -> str:
        """The target of a request."""
        return self.first_line.split(" ")[1]


async def read_head(reader: asyncio.StreamReader) -> Message:
    """Read a head; raise IncompleteReadError or ConnectionError if the connection ends before its end."""
    text = (await reader.readuntil(HEAD_END)).decode("latin-1")
    first_line, *lines = text.strip().split("\r\n")
    pairs = (line.partition(":") for line in lines)
    return Message(first_line, {name.strip().lower(): value.strip() for name, _, value in pairs})


async def read_message(reader: asyncio.StreamReader) -> Message:
    """Read a message whose body has a length or is chunked; raise as `read_head` does."""
    message = await read_head(reader)
    if message.headers.get("transfer-encoding", "").lower() == "chunked":
        message.body = await _read_chunks(reader)
    else:
        message.body = await reader.readexactly(int(message.headers.get("content-length", "0")))
    return message


async def _read_chunks(reader: asyncio.StreamReader) -> bytes:
    parts = []
    while size := int((await reader.readuntil(b"\r\n")).split(b";")[0], 16):
        parts.append((await reader.readexactly(size + len(b"\r\n")))[:size])
    await reader.readuntil(b"\r\n")
    return b"".join(parts)


def request(method: str, target: str, headers: dict[str, str] | None = None, body: bytes = b"") -> bytes:
    """Return the bytes of a request."""
    lines = [f"{method} {target} HTTP/1.1", "Host: service.internal"]
    lines += [f"{name}: {value}" for name, value in (headers or {}).items()]
    if body or method != "GET":
        lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join(lines).encode() + HEAD_END + body


def response(status: int, body: bytes = b"", headers: dict[str, str] | None = None) -> bytes:
    """Return the bytes of a response."""
    lines = [f"HTTP/1.1 {status} Status", f"Content-Length: {len(body)}"]
    lines += [f"{name}: {value}" for name, value in (headers or {}).items()]
    return "\r\n".join(lines).encode() + HEAD_END + body


async def call(
    port: int, method: str, target: str, headers: dict[str, str] | None = None, body: bytes = b""
) -> Message:
    """Send one request on a new connection and return its response; raise OSError or EOFError on failure."""
    reader, writer = await asyncio.open_connection(HOST, port)
    try:
        writer.write(request(method, target, headers, body))
        return await read_message(reader)
    finally:
        writer.close()
