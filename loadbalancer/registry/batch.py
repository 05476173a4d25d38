"""Requests gathered for a short time and committed as one log entry."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from typing import Generic, TypeVar

import structlog

BATCH_WINDOW_S = 0.02  # requests gathered into one command
MAX_BATCH_SIZE = 500  # in one, so that an entry stays well under what pysyncobj sends in one piece

Request = TypeVar("Request")
Result = TypeVar("Result")


class Batcher(Generic[Request, Result]):
    """Commits what is added within BATCH_S together; `commit` gives a result for each, in order."""

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
        """The request's result; ConnectionError where it may not have been committed."""
        done: asyncio.Future[Result] = asyncio.get_running_loop().create_future()
        self._waiting.append((request, done))
        if len(self._waiting) == 1:
            self._start_flush()
        return await done

    def _start_flush(self) -> None:
        flush = asyncio.create_task(self._flush())
        self._flushes.add(flush)
        flush.add_done_callback(self._flushes.discard)

    async def _flush(self) -> None:
        await asyncio.sleep(BATCH_WINDOW_S)
        batch, self._waiting = self._waiting[:MAX_BATCH_SIZE], self._waiting[MAX_BATCH_SIZE:]
        if self._waiting:
            self._start_flush()
        try:
            results = await self._commit([request for request, _ in batch])
        except OSError as failure:  # TimeoutError and ConnectionError are such
            self._fail(batch, failure)
            return
        except Exception as failure:
            self._log.exception(f"{self._name}_failed")  # Guard: whoever waits must hear of it
            self._fail(batch, failure)
            return
        for (_, done), result in zip(batch, results, strict=True):
            if not done.done():  # its caller may have gone
                done.set_result(result)

    def _fail(self, batch: list[tuple[Request, asyncio.Future[Result]]], failure: Exception) -> None:
        why = str(failure) or "timeout"
        self._log.warning(f"{self._name}_not_committed", count=len(batch), why=why)
        for _, done in batch:
            if not done.done():
                done.set_exception(ConnectionError(f"{self._name} not committed"))
