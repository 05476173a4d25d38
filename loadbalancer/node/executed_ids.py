"""The ids of requests that a server may have executed and must not execute again.

An id is claimed before its first attempt, and remembered for `retention_s` after the request has ended,
however it ended. It is forgotten at once if no attempt can have been executed. The memory budget bounds the
number of ids: a request that finds no place is not forwarded.
"""

from __future__ import annotations

from collections import deque
from typing import Protocol

import xxhash

from loadbalancer.node.memory_budget import EXECUTED_ID_BYTES, MemoryPool

GENERATIONS = 4  # an id is retained for up to one part in so many longer than necessary


class SiblingClaims(Protocol):
    """The claims of the other processes of this node, and of this process for them."""

    def has_capacity(self, now: float) -> bool:
        """Whether another claim can be stored at loop time `now` (s)."""
        ...

    def read(self, ids: ExecutedIds, now: float) -> None:
        """Pass the other processes' new claims and releases to `ids`."""

    def claim(self, key: int, now: float) -> None:
        """Tell the other processes that this process executes the request."""

    def release(self, key: int, now: float) -> None:
        """Tell the other processes that the request has not been executed."""


class ExecutedIds:
    """A set of ids, each retained for at least `retention_s` (s)."""

    def __init__(
        self, pool: MemoryPool, retention_s: float, now: float, sibling_claims: SiblingClaims | None = None
    ) -> None:
        """`now` is the present loop time (s)."""
        self.retention_s = retention_s
        self._pool = pool
        self._sibling_claims = sibling_claims
        # Keys by the time of their addition, the newest last; sets are dropped as a whole.
        self._generations: deque[set[int]] = deque([set()])
        self._generation_s = retention_s / GENERATIONS
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

    def claim(self, request_id: str, now: float) -> bool:
        """Claim an id before its first attempt; return False if another process has claimed it.

        If two processes claim it at once, at least one of them gets False: each writes its claim before it
        reads those of the other.
        """
        if self._sibling_claims is None:
            return True
        key = key_of(request_id)
        self._sibling_claims.claim(key, now)
        self._sibling_claims.read(self, now)
        return not self._has(key)

    def end(self, request_id: str, executed: bool, claimed: bool, now: float) -> None:
        """Note the end of a request: retain its id if a server may have executed it, else free its memory."""
        key = key_of(request_id)
        if executed:
            if now >= self._rotates_at:
                self._rotate(now)
            newest = self._generations[-1]
            if key not in newest:
                newest.add(key)
                return  # the reservation is used
        elif claimed and self._sibling_claims is not None and not self._has(key):
            self._sibling_claims.release(key, now)
        self.cancel_reservation()

    def add(self, key: int) -> None:
        """Retain a key from now on."""
        newest = self._generations[-1]
        if key not in newest:
            newest.add(key)
            self._pool.add(EXECUTED_ID_BYTES)

    def discard(self, key: int) -> None:
        """Forget a key, as the process that had claimed it didn't execute it."""
        for generation in self._generations:
            if key in generation:
                generation.remove(key)
                self._pool.release(EXECUTED_ID_BYTES)

    def close(self) -> None:
        """Forget all ids, as no request is accepted any more; the claims of this process stay for others."""
        self._pool.release(EXECUTED_ID_BYTES * len(self))
        self._generations = deque([set()])
        self._sibling_claims = None

    def _has(self, key: int) -> bool:
        return any(key in generation for generation in self._generations)

    def _rotate(self, now: float) -> None:
        """Begin new generations that are due by `now`, and drop those that are too old."""
        while now >= self._rotates_at:
            self._rotates_at += self._generation_s
            self._generations.append(set())
            if len(self._generations) > GENERATIONS + 1:
                self._pool.release(EXECUTED_ID_BYTES * len(self._generations.popleft()))


def key_of(request_id: str) -> int:
    """Return the 64-bit key that stands for an id, the same in each process."""
    return xxhash.xxh3_64_intdigest(request_id.encode())
