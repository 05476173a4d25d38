"""SIGTERM while a long answer is on its way: does the client get all of it?"""

from __future__ import annotations

import asyncio
import contextlib
import signal
from pathlib import Path

from review.support_2.platform import Discovery, Node, Record, main, trouble
from review.support_2.servers import Server
from review.support_2.wire import HOST, PIECE_BYTES, Message, read_head, request, response

ANSWER_BYTES = 8 * 1024 * 1024  # "answers and bodies reach 32 MB"
PIECE_SENT_BYTES = 8 * 1024
PIECES_PER_S = 64  # 512 kB/s; a peer that is slow may give 64 kB/s
SIGTERM_AFTER_S = 1.0
SIGKILL_AFTER_S = 30.0  # after SIGTERM; it comes no sooner than 3.7 s after it


class Case:
    """One client, one server, one node."""

    def __init__(self, record: Record) -> None:
        self._record = record
        self.sent = 0

    async def answer(self, server: Server, message: Message, writer: asyncio.StreamWriter) -> None:
        """Give a long answer in small pieces at a steady pace."""
        identifier = message.headers["req-id"]
        self._record.note(f"server {server.name}: begins the answer to {identifier}")
        head = response(200, b"").replace(b"Content-Length: 0", b"Content-Length: %d" % ANSWER_BYTES)
        writer.write(head)
        loop = asyncio.get_running_loop()
        began = loop.time()
        try:
            for number in range(ANSWER_BYTES // PIECE_SENT_BYTES):
                await asyncio.sleep(began + number / PIECES_PER_S - loop.time())
                writer.write(bytes(PIECE_SENT_BYTES))
                await writer.drain()
                self.sent += PIECE_SENT_BYTES
        finally:
            self._record.note(f"server {server.name}: gave {self.sent} bytes to {identifier}")

    async def ask(self, port: int) -> int:
        """Send the request; return the number of bytes of the body that arrived."""
        reader, writer = await asyncio.open_connection(HOST, port)
        writer.write(request("GET", "/search/1", {"Req-Id": "long-1", "Req-Deadline-Ms": "3600"}))
        self._record.note("client: sent long-1")
        head = await read_head(reader)
        self._record.note(f"client: answer to long-1 begins: {head.status}")
        received = 0
        with contextlib.suppress(ConnectionError):
            while received < ANSWER_BYTES and (piece := await reader.read(PIECE_BYTES)):
                received += len(piece)
        self._record.note(f"client: {received} of {ANSWER_BYTES} bytes arrived")
        writer.close()
        return received


async def run(record: Record, folder: Path, stack: contextlib.AsyncExitStack) -> bool:
    """Return whether the client got the whole answer."""
    case = Case(record)
    discovery, server = Discovery(), Server("a", case.answer)
    await server.start()
    discovery.put(server.name, server.port)
    await discovery.start()
    node = Node(folder, discovery)
    stack.push_async_callback(node.stop)
    await node.start()
    record.note("node: ready")
    client = asyncio.create_task(case.ask(node.port))
    await asyncio.sleep(SIGTERM_AFTER_S)
    if trouble():
        node.send_signal(signal.SIGTERM)
        record.note("platform: SIGTERM to the node")
        assert node.process is not None
        async with asyncio.timeout(SIGKILL_AFTER_S):
            await node.process.wait()
        record.note(f"node: ended by itself with {node.process.returncode}; no SIGKILL had been sent")
    return await client == ANSWER_BYTES


main(run, Path(__file__).with_name("record.txt"))
