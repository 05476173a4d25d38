"""The target list that an instance takes over as a snapshot, while watches wait for it and reads go on."""

from __future__ import annotations

import asyncio
from typing import Any

from loadbalancer.registry import watch
from loadbalancer.registry.catalog import TargetCatalog
from loadbalancer.registry.target import validate_target

WAIT_S = 20.0


def stored(revision: int) -> dict[str, Any]:
    """What a snapshot holds of a list at this revision."""
    catalog = TargetCatalog(max_tombstones=5, on_change=lambda revision: None)
    for at in range(revision):
        row = {"uid": f"s-{at}", "endpoint": f"127.0.0.1:{1 + at}"}
        catalog.put(validate_target(row), 0, _doApply=True)
    return catalog._serialize()


def test_a_watch_is_answered_as_soon_as_the_instance_has_taken_a_snapshot_over() -> None:
    """An instance that was far behind gets what it lacks as a snapshot and no commands."""

    async def main() -> tuple[int, int, float]:
        loop = asyncio.get_running_loop()
        change = loop.create_future()
        catalog = TargetCatalog(max_tombstones=5, on_change=lambda revision: change.set_result(None))
        loop.call_later(0.01, catalog._deserialize, stored(3))
        began = loop.time()
        query = watch.WatchQuery(0, WAIT_S)
        page = await watch.page_after_change(catalog.page, query, lambda: change)
        return page.revision, len(page.targets), loop.time() - began

    revision, targets, waited_s = asyncio.run(asyncio.wait_for(main(), WAIT_S / 4))
    assert (revision, targets) == (3, 3)
    assert waited_s < WAIT_S / 4


def test_no_list_is_read_between_two_parts_of_a_snapshot() -> None:
    catalog = TargetCatalog(max_tombstones=5, on_change=lambda revision: None)
    locked: list[bool] = []

    class Parts(dict[str, Any]):
        def __getitem__(self, key: str) -> Any:
            locked.append(catalog._lock.locked())
            return super().__getitem__(key)

    parts = Parts(stored(3))
    catalog._deserialize(parts)
    assert len(locked) == len(parts)
    assert all(locked)
