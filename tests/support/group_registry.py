"""The list service with groups switched on instance by instance, and its rows read over and over."""

from __future__ import annotations

from collections.abc import Iterable
from pathlib import Path
from typing import Any

from tests.registry.test_registry_fleet import Sampler
from tests.support.registry_processes import Registry, http_request, until

LIMIT_S = 60.0  # for anything that should come about: the machine may be slow
MOST = 1.0 + 1e-9


class GroupRegistry(Registry):
    """Three instances; `on` names those that have groups from their next start on."""

    def __init__(
        self, folder: Path, ttl_ms: int, on: Iterable[int] = (0, 1, 2), relayed: bool = False
    ) -> None:
        self.on, self.members_ttl_ms = set(on), ttl_ms
        super().__init__(folder, relayed=relayed, members=self._keys)

    def _keys(self, index: int) -> dict[str, int | str]:
        groups = "true" if index in self.on else "false"
        return {"ttl_ms": self.members_ttl_ms, "clock_bound_ms": 250, "groups": groups}

    def restart(self, *chosen: int) -> None:
        """One after another, each by SIGKILL, the next once there is a leader again."""
        for index in chosen:
            if self.processes[index] is not None:
                self.kill(index)
            self.start(index)
            self.leader()

    def call(self, method: str, path: str, body: Any = None) -> tuple[int, Any]:
        """A call of the fleet's, said to the live instances in turn until one does or refuses it."""

        def said() -> tuple[int, Any] | None:
            for index in self.live():
                status, _, answer = http_request(self.http[index], method, f"/fleet/{path}", body)
                if status != 503:
                    return status, answer
            return None

        return until(said, LIMIT_S, f"{method} {path}")  # type: ignore[no-any-return]

    def rows(self, service: str | None = None) -> list[dict[str, Any]]:
        """The rows of a service, or of all, as the instance that leads has applied them."""
        path = "members" if service is None else f"members?service={service}"
        found: list[dict[str, Any]] = self.call("GET", path)[1]["members"]
        return found

    def states(self, service: str) -> dict[str, str]:
        return {row["name"]: row["state"] for row in self.rows(service)}


class GroupSampler(Sampler):
    """Reads all rows from every live instance: of each service the shares sum to at most 1, those of members
    that name none counted in all, and a name's incarnations rise."""

    def check(self, rows: list[dict[str, Any]], incarnations: dict[str, int]) -> None:
        totals = dict.fromkeys({row["service"] for row in rows}, 0.0)
        for row in rows:
            totals[row["service"]] += row["share"]
        everywhere = totals.pop("", 0.0)
        if max(totals.values(), default=0.0) + everywhere > MOST:
            self.violations.append(rows)
        newest: dict[str, int] = {}
        for row in rows:
            newest[row["name"]] = max(newest.get(row["name"], 0), row["incarnation"])
        if any(number < incarnations.get(name, 0) for name, number in newest.items()):
            self.violations.append(rows)
        incarnations.update(newest)
