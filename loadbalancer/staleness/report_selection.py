"""Selection of the servers whose observations are included in the next freshness report."""

from __future__ import annotations

from collections import deque
from collections.abc import Container, Iterable, Iterator
from itertools import chain, islice
from typing import Final

# Maximum number of servers of each kind in a report.
MAX_FLIPPED: Final = 16  # servers that last began or ceased to fail
MAX_RECENT: Final = 16  # servers with the latest observations
MAX_ROTATED: Final = 16  # servers by rotation through all, so that each one is reported regularly


class ReportSelection:
    """Selects up to 48 servers per report: state changes first, then recent ones, then a rotation of all."""

    def __init__(self) -> None:
        self._flipped: dict[str, None] = {}  # ordered by time of the state change, latest last
        self._rotation: deque[str] = deque()  # every server with an observation

    def add(self, server: str) -> None:
        """Add a server that has its first observation."""
        self._rotation.append(server)

    def flip(self, server: str) -> None:
        """Record that a server has begun or ceased to fail."""
        self._flipped.pop(server, None)
        self._flipped[server] = None
        if len(self._flipped) > MAX_FLIPPED:
            del self._flipped[next(iter(self._flipped))]

    def retain(self, servers: Container[str]) -> None:
        """Drop every server that is not in `servers`."""
        for server in [name for name in self._flipped if name not in servers]:
            del self._flipped[server]
        self._rotation = deque(name for name in self._rotation if name in servers)

    def select(self, latest_first: Iterable[str]) -> Iterator[str]:
        """Return the servers of the next report, each once; `latest_first`: all, last observed first."""
        rotated = list(islice(self._rotation, MAX_ROTATED))
        self._rotation.rotate(-len(rotated))
        names = chain(self._flipped, islice(latest_first, MAX_RECENT), rotated)
        return iter(dict.fromkeys(names))
