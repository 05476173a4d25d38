"""A target list restored from a snapshot during concurrent watches and reads."""

from __future__ import annotations

import asyncio
from typing import Any

from loadbalancer.registry import watch
from loadbalancer.registry.catalog import TargetCatalog
from loadbalancer.registry.target import validate_target

WAIT_S = 20.0


def stored(revision: int) -> dict[str, Any]:
    """Return the catalog's part of a snapshot at this revision."""
    catalog = TargetCatalog(max_tombstones=5, on_change=lambda revision: None)
    for number in range(revision):
        target = {"uid": f"s-{number}", "endpoint": f"127.0.0.1:{1 + number}"}
        catalog.put(validate_target(target), 0, _doApply=True)
    return catalog._serialize()


def test_watch_returns_once_snapshot_is_restored() -> None:
    """An instance that is far behind receives a snapshot, not commands; it must wake watches too."""

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


def test_snapshot_is_restored_under_one_lock() -> None:
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
