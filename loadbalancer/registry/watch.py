"""PROTOCOL's watch, as an instance and an agent both serve it: the query, the wait, the answer."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from http import HTTPStatus
from typing import NamedTuple

import orjson

from loadbalancer.node.http.service_http import HttpRequest, HttpResponse
from loadbalancer.registry.errors import InvalidFieldError
from loadbalancer.registry.target_list import ListPage

MAX_WAIT_MS = 60_000  # PROTOCOL, "Discovery": the longest wait of a watch
MS_PER_S = 1000.0


class WatchQuery(NamedTuple):
    """What a watch asks for."""

    since: int | None  # the revision that the caller knows; None for the complete list
    wait_s: float  # how long to wait for a change


def optional_integer(call: HttpRequest, name: str) -> int | None:
    """A field of the query; None where it is missing or empty, InvalidFieldError where it is no integer."""
    text = call.query.get(name, "")
    if not text:
        return None
    try:
        return int(text)
    except ValueError as failure:
        raise InvalidFieldError(field=name, value=text, problem="not a whole number") from failure


def parse_query(call: HttpRequest, max_wait_ms: int = MAX_WAIT_MS) -> WatchQuery:
    """The query's `since` and `timeout_ms`, the latter limited to `max_wait_ms`; InvalidFieldError."""
    since = optional_integer(call, "since")
    wait_ms = optional_integer(call, "timeout_ms") or 0
    return WatchQuery(since, max(0, min(wait_ms, max_wait_ms, MAX_WAIT_MS)) / MS_PER_S)


async def page_after_change(
    page_since: Callable[[int | None], ListPage],
    query: WatchQuery,
    next_change: Callable[[], asyncio.Future[None]],
) -> ListPage:
    """The page since the query's revision as soon as it has entries, or empty when the wait is over."""
    loop = asyncio.get_running_loop()
    deadline = loop.time() + query.wait_s
    page = page_since(query.since)
    while query.since is not None and not page.complete and not page.targets and loop.time() < deadline:
        await wait_until(next_change(), deadline)
        page = page_since(query.since)
    return page


async def wait_until(change: asyncio.Future[None], deadline_s: float) -> None:
    """Return once the future is done or the event loop's clock shows the deadline."""
    try:
        async with asyncio.timeout(deadline_s - asyncio.get_running_loop().time()):
            await asyncio.shield(change)
    except TimeoutError:
        pass


def page_answer(
    page: ListPage, headers: dict[str, str] | None = None, origin_revision: int | None = None
) -> HttpResponse:
    """The answer to a watch. `origin_revision`: the service's revision, which an agent adds to its own."""
    body = {"rev": page.revision, "all": page.complete, "targets": page.targets}
    if origin_revision is not None:
        body["origin_rev"] = origin_revision
    return HttpResponse(HTTPStatus.OK, orjson.dumps(body), headers or {})
