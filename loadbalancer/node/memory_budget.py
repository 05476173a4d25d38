"""The memory that clients and servers can make a node hold, and who may hold how much of it.

The budget counts objects as well as bytes, from the accept of a connection to the last byte written to it:

- connections, to clients and to servers: their numbers are limited, so that they fit into their part of it;
- requests that are being received or queued (`receiving`), the requests in progress with their attempts and
  responses (`exchanges`), responses that clients have not read yet (`unsent`) and the ids of executed
  requests (`executed_ids`): together they fit into the rest.
"""

from __future__ import annotations

import resource
from pathlib import Path

KIB = 1024
MIB = 1024 * KIB
PROGRAM_BYTES = 21 * MIB  # of the interpreter and the program, before the first client
USABLE_RATIO = 0.75  # of the memory beside the program; allocators can't use all of it
MIN_USABLE_BYTES = 256 * KIB

MIN_BUFFER_BYTES = 8 * KIB
MAX_BUFFER_BYTES = 64 * KIB
BUFFERS = 1024  # the budget over the size of one buffer

CLIENTS_RATIO = 0.45  # of the budget, for connections to clients
UPSTREAM_RATIO = 0.1  # of the budget, for connections to servers
REQUESTS_RATIO = 0.45  # of the budget, for requests and responses
RECEIVING_RATIO = 0.25  # of the budget, for requests that are being received or queued
IDS_RATIO = 0.125  # of the budget, for the ids of executed requests
ID_FILES_RATIO = 0.05  # of the budget, for the files of ids during an upgrade; part of that of requests

CONNECTION_BYTES = 6 * KIB  # objects of one connection
BASIC_REQUEST_BYTES = 2 * KIB  # of a request that is held without a reservation; part of its connection
EXCHANGE_BYTES = 8 * KIB  # objects of a request in progress and of its attempts
BUFFERS_PER_EXCHANGE = 2  # of its response
BUFFERS_PER_UPLOAD = 2  # of a request that is forwarded while it is received
EXECUTED_ID_BYTES = 16  # see key_set.py

RESIDENT_PAGES_FIELD = 1


class MemoryPool:
    """A part of the budget: `reserved_bytes` of it are in use, and at most `limit_bytes` are granted.

    What a pool holds also counts for `parent`, if it has one. Several threads may not use it.
    """

    __slots__ = ("denials", "limit_bytes", "name", "parent", "reserved_bytes")

    def __init__(self, name: str, limit_bytes: float, parent: MemoryPool | None = None) -> None:
        self.name = name
        self.limit_bytes = int(limit_bytes)
        self.parent = parent
        self.reserved_bytes = 0
        self.denials = 0  # reservations that were denied since the last statistics line

    def reserve(self, size: int) -> bool:
        """Reserve `size` bytes; return False, and count a denial, if they don't fit."""
        if not self._fits(size):
            self.denials += 1
            return False
        self.add(size)
        return True

    def add(self, size: int) -> None:
        """Count `size` bytes that are held already, even if they exceed the limit; a negative size frees."""
        pool: MemoryPool | None = self
        while pool is not None:
            pool.reserved_bytes += size
            pool = pool.parent

    def release(self, size: int) -> None:
        """Free `size` bytes."""
        self.add(-size)

    def _fits(self, size: int) -> bool:
        pool: MemoryPool | None = self
        while pool is not None:
            if pool.reserved_bytes + size > pool.limit_bytes:
                return False
            pool = pool.parent
        return True


class MemoryBudget:
    """The owner of the memory limit: sizes of buffers, numbers of connections, and the pools of requests."""

    def __init__(self, limit_mb: float, program_bytes: int = PROGRAM_BYTES) -> None:
        usable = max(MIN_USABLE_BYTES, (limit_mb * MIB - program_bytes) * USABLE_RATIO)
        self.usable_bytes = int(usable)
        self.buffer_bytes = min(MAX_BUFFER_BYTES, max(MIN_BUFFER_BYTES, self.usable_bytes // BUFFERS))
        self.read_buffer = bytearray(self.buffer_bytes)  # shared by all connections, see read_buffer.py
        self.max_client_connections = max(
            1, int(usable * CLIENTS_RATIO / (CONNECTION_BYTES + BASIC_REQUEST_BYTES))
        )
        self.max_upstream_connections = max(1, int(usable * UPSTREAM_RATIO / CONNECTION_BYTES))
        self.requests = MemoryPool("requests", usable * REQUESTS_RATIO)
        self.receiving = MemoryPool("receiving", usable * RECEIVING_RATIO, self.requests)
        self.exchanges = MemoryPool("exchanges", usable * REQUESTS_RATIO, self.requests)
        self.unsent = MemoryPool("unsent", usable * REQUESTS_RATIO, self.requests)
        self.executed_ids = MemoryPool("executed_ids", usable * IDS_RATIO, self.requests)
        self.pools = (self.receiving, self.exchanges, self.unsent, self.executed_ids)

    def reserve_id_files(self, count: int) -> int:
        """Reserve the memory of `count` files of ids, as files count as memory; return the bytes of one."""
        size = int(self.usable_bytes * ID_FILES_RATIO) // count
        self.requests.add(count * size)
        return size

    @property
    def max_uploads(self) -> int:
        """The number of requests that may be forwarded while they are received."""
        return max(1, self.receiving.limit_bytes // self.exchange_bytes(0, receiving=True))

    def exchange_bytes(self, request_bytes: int, receiving: bool) -> int:
        """Return the most memory that a request in progress takes; its head and body take `request_bytes`."""
        buffers = BUFFERS_PER_EXCHANGE + (BUFFERS_PER_UPLOAD if receiving else 0)
        return EXCHANGE_BYTES + request_bytes + buffers * self.buffer_bytes


def resident_bytes() -> int | None:
    """Return the resident memory of this process, or None if the platform doesn't tell it."""
    try:
        pages = int(Path("/proc/self/statm").read_text().split()[RESIDENT_PAGES_FIELD])
    except (OSError, ValueError, IndexError):
        return None
    return pages * resource.getpagesize()
