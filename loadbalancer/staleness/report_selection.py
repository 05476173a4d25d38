"""Which servers' observations go into the next freshness report."""

from __future__ import annotations

from collections import deque
from collections.abc import Container, Iterable, Iterator
from itertools import chain, islice
from typing import Final

MAX_FLIPPED: Final = 16  # servers in a report that have lately begun or ceased to fail,
MAX_RECENT: Final = 16  # those with the latest observations,
MAX_ROTATED: Final = 16  # and some of all in rotation, so that each is reported in time


class ReportSelection:
    """Selects up to 48 servers a report: state changes first, then recent ones, then a rotation of all."""

    def __init__(self) -> None:
        self._flipped: dict[str, None] = {}  # in order of their change, the latest last
        self._rotation: deque[str] = deque()  # every server with an observation

    def add(self, server: str) -> None:
        """A server has its first observation."""
        self._rotation.append(server)

    def flip(self, server: str) -> None:
        """A server has begun or ceased to fail."""
        self._flipped.pop(server, None)
        self._flipped[server] = None
        if len(self._flipped) > MAX_FLIPPED:
            del self._flipped[next(iter(self._flipped))]

    def retain(self, servers: Container[str]) -> None:
        """Drop every server that is not among these."""
        for server in [name for name in self._flipped if name not in servers]:
            del self._flipped[server]
        self._rotation = deque(name for name in self._rotation if name in servers)

    def select(self, latest_first: Iterable[str]) -> Iterator[str]:
        """The servers of the next report, each once; `latest_first`: by their latest observation."""
        rotated = list(islice(self._rotation, MAX_ROTATED))
        self._rotation.rotate(-len(rotated))
        names = chain(self._flipped, islice(latest_first, MAX_RECENT), rotated)
        return iter(dict.fromkeys(names))
