"""The limits of a node at which it rejects requests before it sends them."""

from __future__ import annotations

import asyncio
from enum import Enum

from loadbalancer.node.executed_ids import ExecutedIds
from loadbalancer.node.listener.listener import Listener


class Limit(Enum):
    """A limit at which requests are rejected; the values are names of metrics and in the statistics line."""

    UPLOADS = "uploads"
    REQUESTS = "requests"
    CONNECTIONS = "connections"
    MEMORY = "memory"
    EXECUTED_IDS = "executed_ids"


class RequestLimits:
    """Checks the limits, and reserves memory for a request that is within them."""

    def __init__(self, listener: Listener, executed_ids: ExecutedIds, max_in_progress: int) -> None:
        self._loop = asyncio.get_running_loop()
        self._listener = listener
        self._memory = listener.memory
        self._executed_ids = executed_ids
        self._max_in_progress = max_in_progress
        self.max_uploads = self._memory.max_uploads

    def reserve(self, in_progress: int, uploads: int | None, size: int, executes_once: bool) -> Limit | None:
        """Reserve `size` bytes, and memory for the request's id if it must not be executed twice.

        `uploads` is the number of requests that are being received, None if this one isn't. Return the limit
        that prevents it, or None; then nothing has been reserved.
        """
        limit = self._reached(in_progress, uploads)
        if limit is not None:
            return limit
        if executes_once and not self._executed_ids.reserve(self._loop.time()):
            return Limit.EXECUTED_IDS
        if self._memory.exchanges.reserve(size):
            return None
        if executes_once:
            self._executed_ids.cancel_reservation()
        return Limit.MEMORY

    def _reached(self, in_progress: int, uploads: int | None) -> Limit | None:
        if uploads is not None and uploads >= self.max_uploads:
            return Limit.UPLOADS
        if in_progress >= self._max_in_progress:
            return Limit.REQUESTS
        if self._listener.over_limit:
            return Limit.CONNECTIONS
        return None
