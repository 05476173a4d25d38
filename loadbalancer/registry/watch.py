"""PROTOCOL's watch, served by instances and agents: the query, the wait, the response."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from http import HTTPStatus
from typing import NamedTuple

import orjson

from loadbalancer.node.http.service_server import HttpRequest, HttpResponse
from loadbalancer.registry.errors import InvalidFieldError
from loadbalancer.registry.target_list import ListPage

MAX_WAIT_MS = 60_000  # PROTOCOL, "Discovery": the longest wait of a watch
MS_PER_S = 1000.0


class WatchQuery(NamedTuple):
    """The query of a watch."""

    since: int | None  # the caller's revision; None for the complete list
    wait_s: float  # longest time to wait for a change


def optional_integer(call: HttpRequest, name: str) -> int | None:
    """Return an integer of the query, None if missing or empty; raise InvalidFieldError if invalid."""
    text = call.query.get(name, "")
    if not text:
        return None
    try:
        return int(text)
    except ValueError as failure:
        raise InvalidFieldError(field=name, value=text, problem="not a whole number") from failure


def parse_query(call: HttpRequest, max_wait_ms: int = MAX_WAIT_MS) -> WatchQuery:
    """Parse `since` and `timeout_ms`, limited to `max_wait_ms`; raise InvalidFieldError if invalid."""
    since = optional_integer(call, "since")
    wait_ms = optional_integer(call, "timeout_ms") or 0
    return WatchQuery(since, max(0, min(wait_ms, max_wait_ms, MAX_WAIT_MS)) / MS_PER_S)


async def page_after_change(
    page_since: Callable[[int | None], ListPage],
    query: WatchQuery,
    next_change: Callable[[], asyncio.Future[None]],
) -> ListPage:
    """Return the page since the query's revision once it has entries, or empty when the wait is over."""
    loop = asyncio.get_running_loop()
    deadline = loop.time() + query.wait_s
    page = page_since(query.since)
    while query.since is not None and not page.complete and not page.targets and loop.time() < deadline:
        await wait_until(next_change(), deadline)
        page = page_since(query.since)
    return page


async def wait_until(change: asyncio.Future[None], deadline_s: float) -> None:
    """Wait until the future is done or the deadline on the event loop's clock is reached."""
    try:
        async with asyncio.timeout(deadline_s - asyncio.get_running_loop().time()):
            await asyncio.shield(change)
    except TimeoutError:
        pass


def page_response(
    page: ListPage, headers: dict[str, str] | None = None, origin_revision: int | None = None
) -> HttpResponse:
    """Return the response to a watch; `origin_revision` is the service's, which an agent adds."""
    body = {"rev": page.revision, "all": page.complete, "targets": page.targets}
    if origin_revision is not None:
        body["origin_rev"] = origin_revision
    return HttpResponse(HTTPStatus.OK, orjson.dumps(body), headers or {})
