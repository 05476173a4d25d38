"""What must hold of two-phase activation in every state, and once faults end."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from loadbalancer.routing.version_record import ABORTED, VersionRecord
from tests.support.orders.parts import TTL

if TYPE_CHECKING:
    from tests.support.orders.routes import Routes

BOUND = 20.0  # the clock bound, ms
PREPARE = 4 * TTL  # from a proposal to its deadline


def decided(world: Routes) -> list[VersionRecord]:
    """By T, the first being version 0."""
    return sorted(
        (
            one
            for one in world.service.state.routes.versions
            if one.activates_at_ms is not None and one.phase != ABORTED
        ),
        key=lambda one: one.activates_at_ms or 0.0,
    )


def routes_check(world: Routes) -> str | None:
    """Each node that follows runs what the log has decided, from its moment on, but for the clock bound
    around that; so no two of them run different versions, and none runs one that is not decided."""
    if world.broken is not None:
        return world.broken
    s, versions = world._s(), decided(world)
    begun = [one.number for one in versions if (one.activates_at_ms or 0.0) <= s + BOUND]
    settled = [one.number for one in versions if (one.activates_at_ms or 0.0) < s - BOUND]
    right = {*settled[-1:], *begun[len(settled) :]}
    for node, edge in zip(world.nodes, world.edges, strict=True):
        if node.core is None:
            continue
        running, stand = edge.follower.running_version, edge.follower.participation(world.now + node.skew)
        if stand == "following" and running not in right:
            return f"{node.name} follows and runs version {running} where {sorted(right)} is in force"
        if stand != "following" and running:
            return f"{node.name} runs version {running} without being a follower"
    return None


def routes_probe(world: Routes) -> str | None:
    """Once faults end, a pending activation ends, and all nodes come to run the version in force."""
    after = world.fair(math.ceil((PREPARE + 3 * TTL) / world.bounds.step))
    broken = routes_check(after)
    if broken is not None:
        return f"in the fair run: {broken}"
    if after.service.state.routes.pending is not None:
        return "a pending activation has not ended"
    running = [edge.follower.running_version for edge in after.edges]
    if set(running) != {after.service.state.routes.active_number}:
        return f"nodes run {running}, in force is {after.service.state.routes.active_number}"
    return None
