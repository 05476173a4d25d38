"""What must hold of leases and shares in every state, and once faults end.

A service's whole is what the processes that balance to it take together. A process that names no service may
balance to any, so what it takes counts in each service's whole.
"""

from __future__ import annotations

import math
from collections import Counter
from typing import TYPE_CHECKING

from loadbalancer.registry.fleet_state import NO_SERVICE
from tests.support.orders.explore import Check
from tests.support.orders.parts import MOST, TTL

if TYPE_CHECKING:
    from tests.support.orders.shares import Shares

NEARLY = 0.99


def taken(world: Shares) -> dict[str, float]:
    """What is taken of each service's whole, and under NO_SERVICE what processes that name none take."""
    shares = {NO_SERVICE: 0.0}
    for node, share in zip(world.nodes, world.takes(), strict=True):
        shares[node.service] = shares.get(node.service, 0.0) + share
    beside = shares[NO_SERVICE]
    return {service: share + (beside if service != NO_SERVICE else 0.0) for service, share in shares.items()}


def granted(world: Shares) -> dict[str, float]:
    """As `taken`, by the ledgers."""
    state = world.service.state
    beside = state.ledger.granted_quota()
    of_services = {service: ledger.granted_quota() + beside for service, ledger in state.services.items()}
    return {NO_SERVICE: beside} | of_services


def share_check(world: Shares) -> str | None:
    """Of each service the shares taken and those granted sum to at most 1; incarnations only rise; a node
    that knows a member list's revision knows its members."""
    for service, total in taken(world).items():
        if total > MOST:
            takes = [round(share, 3) for share in world.takes()]
            return f"shares taken{of(service)} sum to {total:.3f}: {takes}"
    for service, total in granted(world).items():
        if total > MOST:
            return f"shares granted{of(service)} sum to {total:.3f}"
    return world.broken or members_check(world)


def members_check(world: Shares) -> str | None:
    """A node that acts on the present revision of its group's member list has that very list."""
    state = world.service.state
    for node in world.nodes:
        core = node.core
        if core is None or core.incarnation is None:
            continue
        ledger = state.services.get(node.service, state.ledger)
        if core.incarnation not in ledger.records_by_incarnation or core.revision != ledger.revision:
            continue
        if set(core.members) != set(ledger.members()):
            knows = [member.incarnation for member in core.members]
            listed = list(ledger.records_by_incarnation)
            return f"{node.name} knows {knows} as the members at {core.revision}: {listed}"
    return None


def quiet_check(start: Shares, service: str) -> Check[Shares]:
    """The check of a world in which no fault befalls the nodes of this service: what befalls others costs
    them nothing, neither a part of their whole nor a change of their member list."""
    revision = start.service.state.group_revisions()[service]

    def check(world: Shares) -> str | None:
        if taken(world)[service] < NEARLY:
            return f"without a fault of theirs the nodes of {service} take {taken(world)[service]:.3f}"
        if world.service.state.group_revisions()[service] != revision:
            return f"without a fault of theirs the member list of {service} has changed"
        return share_check(world)

    return check


def share_probe(world: Shares) -> str | None:
    """Once faults end, each service's whole is taken again within four terms."""
    after = world.fair(math.ceil(4 * TTL / world.bounds.step))
    broken = share_check(after)
    if broken is not None:
        return f"in the fair run: {broken}"
    wanted = aims(after)
    for service, total in taken(after).items():
        if total < NEARLY * wanted[service]:
            return f"4 terms after the last fault the shares{of(service)} are {after.takes()}"
    return None


def aims(world: Shares) -> dict[str, float]:
    """What `taken` comes to once all have their part: the whole, but for a service beside a fuller one whose
    nodes share with processes that name none, which take no more than the fuller one leaves them."""
    nodes = Counter(node.service for node in world.nodes)
    beside = nodes.pop(NO_SERVICE, 0)
    most = max(nodes.values(), default=0)
    of_beside = beside / max(1, beside + most)
    return {NO_SERVICE: of_beside} | {
        service: number / (number + beside) + of_beside for service, number in nodes.items()
    }


def of(service: str) -> str:
    return f" of {service}" if service != NO_SERVICE else ""
