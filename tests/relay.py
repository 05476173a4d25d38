"""A fault-injecting TCP relay: it stands between two programs and passes, silences or resets.

`silent` is PROTOCOL's vanished machine: connections stay open and nothing passes either way,
and new ones are taken and left silent. `reset` ends every connection at once, as a process
that dies does. The relay runs its own event loop on a thread, so tests of processes can use it.
"""

from __future__ import annotations

import asyncio
import contextlib
import socket
import threading


class Relay:
    def __init__(self, target: tuple[str, int]) -> None:
        self.target = target
        self.silent = False
        self._loop = asyncio.new_event_loop()
        self._writers: set[asyncio.StreamWriter] = set()
        self._listening = socket.create_server(("127.0.0.1", 0))
        self.address = self._listening.getsockname()[:2]
        self._thread = threading.Thread(target=self._loop.run_forever, daemon=True)
        self._thread.start()
        asyncio.run_coroutine_threadsafe(self._start(), self._loop).result(5)

    async def _start(self) -> None:
        self._server = await asyncio.start_server(self._accept, sock=self._listening)

    async def _accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers.add(writer)
        try:
            up_reader, up_writer = await asyncio.open_connection(*self.target)
        except OSError:
            writer.transport.abort()
            return
        self._writers.add(up_writer)
        await asyncio.gather(self._pipe(reader, up_writer), self._pipe(up_reader, writer))

    async def _pipe(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(OSError, ConnectionError):
            while data := await reader.read(65536):
                while self.silent:  # held, as a cut cable holds it
                    await asyncio.sleep(0.01)
                writer.write(data)
                await writer.drain()
        writer.transport.abort()

    def set_silent(self, silent: bool) -> None:
        self.silent = silent

    def reset(self) -> None:
        """End every connection through the relay now."""

        def abort() -> None:
            for writer in list(self._writers):
                writer.transport.abort()
            self._writers.clear()

        self._loop.call_soon_threadsafe(abort)

    async def _shutdown(self) -> None:
        self._server.close()
        for writer in self._writers:
            writer.transport.abort()
        tasks = [task for task in asyncio.all_tasks() if task is not asyncio.current_task()]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def close(self) -> None:
        asyncio.run_coroutine_threadsafe(self._shutdown(), self._loop).result(5)
        self._loop.call_soon_threadsafe(self._loop.stop)
        self._thread.join(5)
