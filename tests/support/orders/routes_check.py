"""Invariant of two-phase activation, and recovery after faults."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from loadbalancer.routing.version_record import ABORTED, VersionRecord
from tests.support.orders.parts import TTL

if TYPE_CHECKING:
    from tests.support.orders.routes import RouteModel

CLOCK_BOUND_MS = 20.0  # maximum error of the participants' service time
PREPARE_MS = 4 * TTL  # ms from a proposal to its deadline


def decided_versions(model: RouteModel) -> list[VersionRecord]:
    """The decided versions by activation time; the first is version 0."""
    return sorted(
        (
            version
            for version in model.service.state.routes.versions
            if version.activates_at_ms is not None and version.phase != ABORTED
        ),
        key=lambda version: version.activates_at_ms or 0.0,
    )


def route_invariant(model: RouteModel) -> str | None:
    """Each following node runs the version that the log has in force at this time.

    So no node runs an undecided version, and no two nodes run different ones. The exception is the time
    within CLOCK_BOUND_MS of an activation, when both the version before and the one after it are allowed.
    """
    if model.violation is not None:
        return model.violation
    service_ms, versions = model._service_ms(), decided_versions(model)
    possible = [
        version.number
        for version in versions
        if (version.activates_at_ms or 0.0) <= service_ms + CLOCK_BOUND_MS
    ]
    settled = [
        version.number
        for version in versions
        if (version.activates_at_ms or 0.0) < service_ms - CLOCK_BOUND_MS
    ]
    allowed = {*settled[-1:], *possible[len(settled) :]}
    for node, entry in zip(model.nodes, model.participants, strict=True):
        if node.lease is None:
            continue
        running, participation = (
            entry.participant.running_version,
            entry.participant.participation(model.now + node.skew),
        )
        if participation == "following" and running not in allowed:
            return f"{node.name} follows and runs version {running} while {sorted(allowed)} is in force"
        if participation != "following" and running:
            return f"{node.name} runs version {running} without being a participant"
    return None


def route_recovery(model: RouteModel) -> str | None:
    """After faults end, a pending activation ends and all nodes run the version in force."""
    final = model.run_without_faults(math.ceil((PREPARE_MS + 3 * TTL) / model.bounds.step))
    violation = route_invariant(final)
    if violation is not None:
        return f"in the run without faults: {violation}"
    if final.service.state.routes.pending is not None:
        return "a pending activation has not ended"
    running = [entry.participant.running_version for entry in final.participants]
    if set(running) != {final.service.state.routes.active_number}:
        return f"nodes run {running}, in force is {final.service.state.routes.active_number}"
    return None
