"""A list service whose instances start with groups or without them, and a sampler of its member records."""

from __future__ import annotations

from collections.abc import Iterable
from pathlib import Path
from typing import Any

from tests.registry.test_registry_fleet import Sampler
from tests.support.registry_processes import Registry, http_request, until

LIMIT_S = 60.0  # limit of every wait; long, as the machine may be slow
MAX_QUOTA_SUM = 1.0 + 1e-9


class GroupRegistry(Registry):
    """Three instances; those in `grouped` have groups from their next start."""

    def __init__(
        self, folder: Path, ttl_ms: int, grouped: Iterable[int] = (0, 1, 2), relayed: bool = False
    ) -> None:
        self.grouped, self.members_ttl_ms = set(grouped), ttl_ms
        super().__init__(folder, relayed=relayed, members=self._keys)

    def _keys(self, index: int) -> dict[str, int | str]:
        groups = "true" if index in self.grouped else "false"
        return {"ttl_ms": self.members_ttl_ms, "clock_bound_ms": 250, "groups": groups}

    def restart(self, *chosen: int) -> None:
        """Restart the chosen instances in turn by SIGKILL, the next one once there is a leader again."""
        for index in chosen:
            if self.processes[index] is not None:
                self.kill(index)
            self.start(index)
            self.leader()

    def call(self, method: str, path: str, body: Any = None) -> tuple[int, Any]:
        """Send a call under /fleet/ to the live instances in turn, until one responds other than with 503."""

        def respond() -> tuple[int, Any] | None:
            for index in self.live():
                status, _, response = http_request(self.http[index], method, f"/fleet/{path}", body)
                if status != 503:
                    return status, response
            return None

        return until(respond, LIMIT_S, f"{method} {path}")  # type: ignore[no-any-return]

    def records(self, service: str | None = None) -> list[dict[str, Any]]:
        """Return the leader's member records of a service, or of all services."""
        path = "members" if service is None else f"members?service={service}"
        records: list[dict[str, Any]] = self.call("GET", path)[1]["members"]
        return records

    def states(self, service: str) -> dict[str, str]:
        return {record["name"]: record["state"] for record in self.records(service)}


class GroupSampler(Sampler):
    """Reads all member records from every live instance and checks two invariants.

    The quotas of each service sum to at most 1, where members that name no service count in every service.
    The incarnation of a name never decreases.
    """

    def check(self, records: list[dict[str, Any]], incarnations: dict[str, int]) -> None:
        totals = dict.fromkeys({record["service"] for record in records}, 0.0)
        for record in records:
            totals[record["service"]] += record["share"]
        without_service = totals.pop("", 0.0)
        if max(totals.values(), default=0.0) + without_service > MAX_QUOTA_SUM:
            self.violations.append(records)
        newest: dict[str, int] = {}
        for record in records:
            newest[record["name"]] = max(newest.get(record["name"], 0), record["incarnation"])
        if any(number < incarnations.get(name, 0) for name, number in newest.items()):
            self.violations.append(records)
        incarnations.update(newest)
