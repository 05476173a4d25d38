"""Batches of requests, each committed as one log entry."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from typing import Generic, TypeVar

import structlog

from loadbalancer.registry.errors import NotCommittedError

BATCH_WINDOW_S = 0.02  # requests that arrive within this time share an entry
MAX_BATCH_COUNT = 500  # keeps an entry well below the size that pysyncobj sends in one message

Request = TypeVar("Request")
Result = TypeVar("Result")


class Batcher(Generic[Request, Result]):
    """Commits all requests added within BATCH_WINDOW_S together.

    `commit` returns one result for each request, in the order of the requests. `name` is part of log events
    and errors.
    """

    def __init__(
        self,
        name: str,
        commit: Callable[[list[Request]], Awaitable[list[Result]]],
        log: structlog.stdlib.BoundLogger,
    ) -> None:
        self._name, self._commit, self._log = name, commit, log
        self._waiting: list[tuple[Request, asyncio.Future[Result]]] = []
        self._flushes: set[asyncio.Task[None]] = set()

    async def add(self, request: Request) -> Result:
        """Return the request's result; raise NotCommittedError if it may not have been committed."""
        done: asyncio.Future[Result] = asyncio.get_running_loop().create_future()
        self._waiting.append((request, done))
        if len(self._waiting) == 1:
            self._start_flush()
        return await done

    def _start_flush(self) -> None:
        flush = asyncio.create_task(self._flush())
        self._flushes.add(flush)  # the event loop keeps only a weak reference to a task
        flush.add_done_callback(self._flushes.discard)

    async def _flush(self) -> None:
        await asyncio.sleep(BATCH_WINDOW_S)
        batch, self._waiting = self._waiting[:MAX_BATCH_COUNT], self._waiting[MAX_BATCH_COUNT:]
        if self._waiting:
            self._start_flush()
        try:
            results = await self._commit([request for request, _ in batch])
        except OSError as failure:  # includes TimeoutError and ConnectionError
            self._fail(batch, failure)
            return
        except Exception as failure:  # every waiting caller must get a result or an error
            self._log.exception(f"{self._name}_failed")
            self._fail(batch, failure)
            return
        for (_, done), result in zip(batch, results, strict=True):
            if not done.done():  # done already if its caller was cancelled
                done.set_result(result)

    def _fail(self, batch: list[tuple[Request, asyncio.Future[Result]]], failure: Exception) -> None:
        reason = str(failure) or "timeout"
        self._log.warning(f"{self._name}_not_committed", count=len(batch), why=reason)
        for _, done in batch:
            if not done.done():
                done.set_exception(NotCommittedError(f"{self._name} not committed"))
