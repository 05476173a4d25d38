"""Turns of connections that have received more than they could parse at once."""

from __future__ import annotations

import asyncio
from itertools import islice
from typing import Protocol

TURNS_PER_ITERATION = 8  # connections that have a turn in one iteration of the event loop


class TurnTaker(Protocol):
    """A connection that may have unparsed bytes."""

    def parse_unparsed(self) -> None:
        """Parse the bytes that the last turn has left."""


class TurnScheduler:
    """Gives the waiting connections one turn each, a limited number in each iteration of the event loop."""

    def __init__(self) -> None:
        self._loop = asyncio.get_running_loop()
        self._waiting: dict[TurnTaker, None] = {}  # the longest waiting first
        self._scheduled = False

    def add(self, connection: TurnTaker) -> None:
        """Call the connection's `parse_unparsed` once, in a later iteration of the event loop."""
        self._waiting[connection] = None
        self._schedule()

    def discard(self, connection: TurnTaker) -> None:
        """Take back `add`, if there was one."""
        self._waiting.pop(connection, None)

    def _schedule(self) -> None:
        if self._waiting and not self._scheduled:
            self._scheduled = True
            self._loop.call_soon(self._run)

    def _run(self) -> None:
        self._scheduled = False
        due = list(islice(self._waiting, TURNS_PER_ITERATION))
        for connection in due:
            del self._waiting[connection]
        self._schedule()
        for connection in due:
            connection.parse_unparsed()
