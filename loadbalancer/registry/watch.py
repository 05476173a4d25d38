"""PROTOCOL's watch, as an instance and an agent both serve it: the query, the wait, the answer."""

from __future__ import annotations

import asyncio
import signal
from collections.abc import Callable

import orjson

from loadbalancer.node.http.service_http import Answer, Call
from loadbalancer.registry.catalog import ListPage

MAX_WAIT_MS = 60_000  # PROTOCOL: a watch waits 60,000 ms at the most


def optional_number(call: Call, name: str) -> int | None:
    """None where the query has no such field, or an empty one; ValueError if it is no number."""
    said = call.query.get(name, "")
    return int(said) if said else None


def parse_query(call: Call, cap_ms: int = MAX_WAIT_MS) -> tuple[int | None, float]:
    """`since` (None for the whole list) and the wait in seconds; ValueError if either is no number. One that
    is empty is as one that is not there."""
    since = optional_number(call, "since")
    wait_ms = optional_number(call, "timeout_ms") or 0
    return since, max(0, min(wait_ms, cap_ms, MAX_WAIT_MS)) / 1000.0


async def page_after_change(
    page_of: Callable[[int | None], ListPage],
    since: int | None,
    wait_s: float,
    news: Callable[[], asyncio.Future[None]],
) -> ListPage:
    """The page since a revision once it has something, or as it is when the wait is over."""
    loop = asyncio.get_running_loop()
    deadline = loop.time() + wait_s
    page = page_of(since)
    while since is not None and not page.complete and not page.targets and loop.time() < deadline:
        try:
            async with asyncio.timeout(deadline - loop.time()):
                await asyncio.shield(news())
        except TimeoutError:
            pass
        page = page_of(since)
    return page


def page_answer(
    page: ListPage, headers: dict[str, str] | None = None, origin_rev: int | None = None
) -> Answer:
    """`origin_rev`: the service's own revision of the page, which an agent tells beside its own."""
    body = {"rev": page.revision, "all": page.complete, "targets": page.targets}
    if origin_rev is not None:
        body["origin_rev"] = origin_rev
    return Answer(200, orjson.dumps(body), headers or {})


async def until_signalled() -> None:
    """Return at SIGTERM or SIGINT."""
    stop = asyncio.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        asyncio.get_running_loop().add_signal_handler(number, stop.set)
    await stop.wait()
