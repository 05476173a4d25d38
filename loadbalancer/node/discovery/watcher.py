"""The server list: its form on the wire, and the watch that follows it."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable
from dataclasses import dataclass
from random import Random
from typing import Any

import orjson

from loadbalancer.endpoints import Endpoint, EndpointListKind, EndpointStatus
from loadbalancer.node.address import Address, parse_address
from loadbalancer.node.http.client_connection import ClientConnection, Response

log = logging.getLogger("loadbalancer")

PROPAGATION_DEADLINE_S = 6.0  # a change counts as told so long after discovery had it and could be reached
SCHEDULING_SLACK_S = 0.3  # of it, for a busy event loop
RESPONSE_TIMEOUT_S = 1.2  # a call unanswered so long after its wait has failed
CONNECT_TIMEOUT_S = 1.0  # of a call's time
LIVENESS_WAIT_MS = 50  # of a call that is to show whether discovery answers at all
LIVENESS_POLL_S = LIVENESS_WAIT_MS / 1000.0 + RESPONSE_TIMEOUT_S
INITIAL_BACKOFF_S = 0.5  # at the most, before discovery is asked again after the first failure
# What a watch misses in a wait that stays silent is learned by the first call after it;
MAX_POLL_WAIT_S = (
    PROPAGATION_DEADLINE_S - SCHEDULING_SLACK_S - RESPONSE_TIMEOUT_S - INITIAL_BACKOFF_S - LIVENESS_POLL_S
)
# and discovery may return right after a first call that it will not answer.
MAX_BACKOFF_S = PROPAGATION_DEADLINE_S - SCHEDULING_SLACK_S - 2.0 * LIVENESS_POLL_S
MAX_LIST_BYTES = 16 * 1024 * 1024
# Older whole lists for so long, and no newer answer, come from a source rebuilt: what it has is news as well.
REBUILD_HOLD_S = PROPAGATION_DEADLINE_S - 2.0 * INITIAL_BACKOFF_S - RESPONSE_TIMEOUT_S
MOVE_DEADLINE_S = 4.0  # what a new address has counts as told so long after the move to it,
MOVE_REBUILD_HOLD_S = (
    MOVE_DEADLINE_S - 2.0 * INITIAL_BACKOFF_S - SCHEDULING_SLACK_S
)  # also where it counts from elsewhere

WIRE_STATUSES = {
    "Ready": EndpointStatus.UP,
    "Terminating": EndpointStatus.DRAINING,
    "Gone": EndpointStatus.REMOVED,
}


@dataclass(slots=True, frozen=True)
class DiscoveryResponse:
    """A server list or changes of one; a server's name is its uid, which no restart and no node changes."""

    revision: int
    complete: bool
    endpoints: tuple[Endpoint, ...]
    addresses: dict[str, Address]
    service_revision: int = 0  # the list service's revision, alike at all nodes, where the agent tells it


def decode_response(row: object) -> DiscoveryResponse:
    """A listing from its JSON; ValueError on any that is malformed."""
    if not isinstance(row, dict):
        raise ValueError("a list is not an object")
    try:
        revision, whole, targets = row["rev"], row["all"], row["targets"]
        if type(revision) is not int or type(whole) is not bool or not isinstance(targets, list):
            raise ValueError("rev, all or targets is of the wrong type")  # a bool is an int to isinstance
        if revision < 0:
            raise ValueError(f"rev {revision} is below 0")
        servers = tuple(_server(target) for target in targets)
        endpoints = {target["uid"]: parse_address(target["endpoint"]) for target in targets}
    except (KeyError, TypeError, AttributeError) as error:
        raise ValueError(f"malformed list: {type(error).__name__}: {error}") from error
    origin = row.get("origin_rev")
    return DiscoveryResponse(revision, whole, servers, endpoints, origin if isinstance(origin, int) else 0)


def _server(target: dict[str, Any]) -> Endpoint:
    state = WIRE_STATUSES.get(target["state"])
    if state is None:
        raise ValueError(f"state {target['state']!r} is not one of {', '.join(WIRE_STATUSES)}")
    zone = target.get("az") or ""
    if not isinstance(target["uid"], str) or not isinstance(zone, str):
        raise ValueError("a uid or an az is not a text")
    boot = target.get("boot_ms") or 0
    model = target.get("model")
    return Endpoint(
        name=target["uid"],
        zone=zone,
        cell=int(target.get("pod_group") or 0),
        state=state,
        launched_ms=float(boot) if boot > 0 else None,  # 0: long ago
        model=model if isinstance(model, str) else "",  # a list is not refused for it
    )


class _Call:
    """One discovery call in flight: a future for its answer."""

    def __init__(self) -> None:
        self.done: asyncio.Future[Response] = asyncio.get_running_loop().create_future()

    def sent(self) -> None:
        pass

    def begun(self, response: Response) -> None:
        """Lists are held whole."""

    def answered(self, response: Response) -> None:
        if not self.done.done():
            self.done.set_result(response)

    def lost(self, written: bool) -> None:
        if not self.done.done():
            self.done.set_exception(ConnectionError("discovery closed the connection"))


class PollPolicy:
    """The one clock for discovery's silence, alike for lists pushed and asked for: how long a call may wait,
    when it has failed, and how long to pause then, so that what discovery has is learned within TOLD_S."""

    def __init__(self, wait_s: float, pause_s: float, rng: Random) -> None:
        """`wait_s` and `pause_s`: the most that the node's settings leave to a wait and to a pause."""
        self._wait_ms = round(min(wait_s, MAX_POLL_WAIT_S) * 1000.0)
        self._pause_s = min(pause_s, MAX_BACKOFF_S)
        self._rng = rng
        self.reset()

    def reset(self) -> None:
        """Nothing is known of discovery: at the start, and at a new address."""
        self._heard = False
        self._failures = 0  # in a row

    @property
    def wait_ms(self) -> int:
        """How long the next call asks discovery to wait for news."""
        # Guard: what an agent has counts as told from a process's first moment and at once after an outage,
        # and 4 s after a move; a first call that stayed silent for its whole wait was noticed after 6 s.
        return self._wait_ms if self._heard else min(LIVENESS_WAIT_MS, self._wait_ms)

    @property
    def timeout_s(self) -> float:
        """How long the next call may take, its connection's opening included."""
        return self.wait_ms / 1000.0 + RESPONSE_TIMEOUT_S

    def record_success(self) -> None:
        self._heard, self._failures = True, 0

    def record_failure(self) -> float:
        """Seconds to pause before the next call."""
        self._heard = False
        longest = min(self._pause_s, INITIAL_BACKOFF_S * 2.0 ** min(self._failures, 8))
        self._failures += 1
        # Guard: what fails for a whole fleet fails in the same moment, and all nodes asked again in step.
        return longest * self._rng.uniform(0.5, 1.0)


class EndpointListWatcher:
    """Follows the list until it is closed; whatever a call or its news may raise, the next call comes."""

    def __init__(
        self,
        address: Address,
        revision: int,
        patience: PollPolicy,
        on_news: Callable[[EndpointListKind, DiscoveryResponse | None], None],
    ) -> None:
        self._address = address
        self._revision = revision
        self._oldest = 0  # an answer of a version before this is stale; none is until one has come from there
        self._went_back: float | None = None  # since when the answers have been whole lists of older versions
        self._rebuilt_s = REBUILD_HOLD_S  # how long they have to be before one is taken
        self._ask_whole = False  # the next call is for the whole list
        self._patience = patience
        self._on_news = on_news
        self._failing = False
        self._closed = False
        self._task: asyncio.Task[None] | None = None
        self._connection: ClientConnection | None = None

    def start(self) -> None:
        """Begin a watch unless one is on; none begins after the node's end."""
        if self._task is None and not self._closed:
            self._task = asyncio.create_task(self._follow())

    @property
    def address(self) -> Address:
        """Where the list is followed now."""
        return self._address

    def resume_from(self, revision: int) -> None:
        """The node knows the list at this rev from elsewhere (its state file): ask for what came since."""
        self._revision = max(self._revision, revision)

    def change_address(self, address: Address) -> None:
        """Follow the list at this address from now on."""
        if address == self._address:
            return
        self._address = address
        self._oldest = 0  # where versions may count from elsewhere
        self._rebuilt_s = MOVE_REBUILD_HOLD_S
        self._went_back = None
        self._ask_whole = self._failing = False
        self._patience.reset()
        self._end()
        self.start()  # even if the next call was to wait after a failure: that was the old address's

    def close(self) -> None:
        self._closed = True
        self._end()

    def _end(self) -> None:
        if self._task is not None:
            self._task.cancel()
            self._task = None
        self._drop()

    async def _follow(self) -> None:
        while True:
            try:
                async with asyncio.timeout(self._patience.timeout_s):
                    listing = await self._ask(self._patience.wait_ms)
                self._on_news(EndpointListKind.FULL if listing.complete else EndpointListKind.DELTA, listing)
            except Exception as error:
                # Guard: an exception of a kind not foreseen, a listener's too, ended the watch for good.
                self._fail(error)
                await asyncio.sleep(self._patience.record_failure())
                continue
            # Only now: what the node could not take is asked for again.
            self._revision = self._oldest = listing.revision
            self._went_back = None
            self._rebuilt_s = REBUILD_HOLD_S
            self._failing = False
            self._patience.record_success()

    def _fail(self, error: Exception) -> None:
        foreseen = isinstance(error, OSError | TimeoutError | ValueError)
        if not foreseen:
            log.error("following discovery at %s:%d failed", *self._address, exc_info=error)
        elif not self._failing:  # once for each stretch of failures
            said = f"{type(error).__name__}: {error}"[:200]
            log.warning("discovery at %s:%d failed, the old list holds: %s", *self._address, said)
        self._failing = True
        self._drop()
        try:
            self._on_news(EndpointListKind.FAILED, None)
        except Exception:
            log.exception("the failure of discovery could not be told")

    async def _ask(self, wait_ms: int) -> DiscoveryResponse:
        connection = self._connection
        if connection is None or not connection.usable:
            self._drop()
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                _, connection = await asyncio.get_running_loop().create_connection(
                    lambda: ClientConnection(lambda _: None, MAX_LIST_BYTES), *self._address
                )
            self._connection = connection
        call = _Call()
        host = f"{self._address[0]}:{self._address[1]}"
        since = self._revision
        target = (
            "/discovery/hosts" if self._ask_whole else f"/discovery/hosts?since={since}&timeout_ms={wait_ms}"
        )
        connection.start(f"GET {target} HTTP/1.1\r\nHost: {host}\r\n\r\n".encode(), call)
        response = await call.done
        if response.status != 200:
            raise ValueError(f"discovery answered {response.status}")
        listing = decode_response(orjson.loads(response.body))
        self._ask_whole = False
        if (
            not listing.complete
        ):  # changes since an older version than the node's: what lies between is not told
            self._oldest = max(self._oldest, since)
        if listing.revision < self._oldest and not self._rebuilt(listing):
            self._ask_whole = True
            self._patience.record_success()  # discovery is heard: nothing to back off from
            # Guard: it would bring servers back that have gone, and take away those that have come.
            raise ValueError(f"stale list, version {listing.revision} after {self._oldest}")
        return listing

    def _rebuilt(self, listing: DiscoveryResponse) -> bool:
        """A source that counts again from the start (rebuilt from nothing) and says so long enough, with no
        newer answer between: its whole list is taken. Refused for good, it would freeze the list; a replica
        that lags for a moment must not bring back what has gone."""
        now = asyncio.get_running_loop().time()
        if not listing.complete:
            return False
        if self._went_back is None:
            self._went_back = now
            return False
        if now - self._went_back < self._rebuilt_s:
            return False
        log.warning(
            "discovery at %s:%d counts versions again (%d after %d): its whole list is taken",
            *self._address,
            listing.revision,
            self._oldest,
        )
        return True

    def _drop(self) -> None:
        if self._connection is not None:
            self._connection.abort()
            self._connection = None
