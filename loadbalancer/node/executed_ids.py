"""The ids of requests that a server may have executed and must not execute again.

An id is claimed before its first attempt, and remembered after the request has ended, however it ended, for
as long as its client may have waited. It is forgotten at once if no attempt can have been executed. The
memory budget bounds the number of ids: a request that finds no place is not forwarded.
"""

from __future__ import annotations

import math
from collections import deque
from typing import Protocol

import xxhash

from loadbalancer.node.key_set import KeySet, any_has
from loadbalancer.node.memory_budget import EXECUTED_ID_BYTES, MemoryPool

MIN_RETENTION_S = 30.0
GENERATIONS = 4  # an id is retained for up to one part in so many of MIN_RETENTION_S longer than necessary


class SiblingClaims(Protocol):
    """The claims of the other processes of this node, and of this process for them."""

    def has_capacity(self, now: float) -> bool:
        """Whether another claim can be stored at loop time `now` (s)."""
        ...

    def read(self, ids: ExecutedIds, now: float) -> None:
        """Pass the other processes' new claims and releases to `ids`."""

    def claim(self, key: int, now: float, retention_s: float) -> None:
        """Tell the other processes that this process executes the request, and for how long that counts."""

    def release(self, key: int, now: float) -> None:
        """Tell the other processes that the request has not been executed."""


class ExecutedIds:
    """A set of ids, each retained as its end says, or for `retention_s` (s) if it was another process's."""

    def __init__(
        self, pool: MemoryPool, retention_s: float, now: float, sibling_claims: SiblingClaims | None = None
    ) -> None:
        """`now` is the present loop time (s)."""
        self.retention_s = retention_s
        self._pool = pool
        self._sibling_claims = sibling_claims
        # Keys by the time at which they expire, the first at `_rotates_at`; sets are dropped as a whole.
        self._generations = deque([KeySet()])
        self._generation_s = min(MIN_RETENTION_S, retention_s) / GENERATIONS
        self._rotates_at = now + self._generation_s

    def __len__(self) -> int:
        return sum(len(generation) for generation in self._generations)

    def reserve(self, now: float) -> bool:
        """Reserve memory for an id; return False if there is none. `end` uses or returns it."""
        if now >= self._rotates_at:
            self._rotate(now)
        if self._sibling_claims is not None and not self._sibling_claims.has_capacity(now):
            return False
        return self._pool.reserve(EXECUTED_ID_BYTES)

    def cancel_reservation(self) -> None:
        """Return the memory of a reservation for a request that is not executed."""
        self._pool.release(EXECUTED_ID_BYTES)

    def contains(self, request_id: str, now: float) -> bool:
        """Whether a server may have executed a request with this id; `now` is the loop time (s)."""
        if now >= self._rotates_at:
            self._rotate(now)
        if self._sibling_claims is not None:
            self._sibling_claims.read(self, now)
        return self._has(key_of(request_id))

    def retention_of(self, client_timeout_s: float) -> float:
        """Return for how long (s) the id of a request with this client timeout is retained after its end.

        The client waits no longer than the timeout, and so doesn't send the request again later.
        """
        return min(self.retention_s, max(MIN_RETENTION_S, client_timeout_s))

    def claim(self, request_id: str, now: float, client_timeout_s: float | None = None) -> bool:
        """Claim an id before its first attempt; return False if another process has claimed it.

        If two processes claim it at once, at least one of them gets False: each writes its claim before it
        reads those of the other.
        """
        if self._sibling_claims is None:
            return True
        if now >= self._rotates_at:
            self._rotate(now)
        key = key_of(request_id)
        retention_s = self.retention_s
        if client_timeout_s is not None:  # from its end, which is a timeout later at most
            retention_s = client_timeout_s + self.retention_of(client_timeout_s)
        self._sibling_claims.claim(key, now, retention_s)
        self._sibling_claims.read(self, now)
        return not self._has(key)

    def end(
        self,
        request_id: str,
        executed: bool,
        claimed: bool,
        now: float,
        client_timeout_s: float | None = None,
    ) -> None:
        """Note the end of a request: retain its id if a server may have executed it, else free its memory.

        Without a `client_timeout_s` it is retained for `retention_s`.
        """
        key = key_of(request_id)
        if executed:
            if now >= self._rotates_at:
                self._rotate(now)
            retention_s = self.retention_s
            if client_timeout_s is not None:
                retention_s = self.retention_of(client_timeout_s)
            if self._generation(now + retention_s).add(key):
                return  # the reservation is used
        elif claimed and self._sibling_claims is not None and not self._has(key):
            self._sibling_claims.release(key, now)
        self.cancel_reservation()

    def add(self, key: int) -> None:
        """Retain a key for `retention_s` from now on."""
        if self._generation(self._rotates_at + self.retention_s).add(key):
            self._pool.add(EXECUTED_ID_BYTES)

    def discard(self, key: int) -> None:
        """Forget a key, as the process that had claimed it didn't execute it."""
        for generation in self._generations:
            if generation.discard(key):
                self._pool.release(EXECUTED_ID_BYTES)

    def close(self) -> None:
        """Forget all ids, as no request is accepted any more; the claims of this process stay for others."""
        self._pool.release(EXECUTED_ID_BYTES * len(self))
        self._generations = deque([KeySet()])
        self._sibling_claims = None

    def _has(self, key: int) -> bool:
        return any_has(self._generations, key)

    def _generation(self, expires_at: float) -> KeySet:
        """Return the set of the keys that expire soon after this loop time (s)."""
        index = max(0, math.floor((expires_at - self._rotates_at) / self._generation_s) + 1)
        while len(self._generations) <= index:  # at a steady rate each has as many keys as the one before
            self._generations.append(KeySet(len(self._generations[-1])))
        return self._generations[index]

    def _rotate(self, now: float) -> None:
        """Drop the sets whose keys have expired by `now`."""
        while now >= self._rotates_at:
            self._rotates_at += self._generation_s
            self._pool.release(EXECUTED_ID_BYTES * len(self._generations.popleft()))
            if not self._generations:
                self._generations.append(KeySet())


def key_of(request_id: str) -> int:
    """Return the 64-bit key that stands for an id, the same in each process."""
    return xxhash.xxh3_64_intdigest(request_id.encode())
