"""Invariants of leases and quotas, and recovery after faults.

The quotas of all processes that balance to a service sum to at most 1. A process without a service may
balance to any, so its quota counts for each service.
"""

from __future__ import annotations

import math
from collections import Counter
from typing import TYPE_CHECKING

from loadbalancer.registry.fleet_state import NO_SERVICE
from tests.support.orders.explore import Check
from tests.support.orders.parts import MAX_QUOTA_SUM, TTL

if TYPE_CHECKING:
    from tests.support.orders.shares import QuotaModel

MIN_USED_QUOTA = 0.99


def used_quotas(model: QuotaModel) -> dict[str, float]:
    """The sum of quotas in use of each service; under NO_SERVICE that of processes without a service."""
    sums = {NO_SERVICE: 0.0}
    for node, quota in zip(model.nodes, model.quotas(), strict=True):
        sums[node.service] = sums.get(node.service, 0.0) + quota
    external = sums[NO_SERVICE]
    return {service: total + (external if service != NO_SERVICE else 0.0) for service, total in sums.items()}


def granted_quotas(model: QuotaModel) -> dict[str, float]:
    """As `used_quotas`, but the quotas granted by the ledgers."""
    state = model.service.state
    external = state.ledger.granted_quota()
    of_services = {service: ledger.granted_quota() + external for service, ledger in state.services.items()}
    return {NO_SERVICE: external} | of_services


def quota_invariant(model: QuotaModel) -> str | None:
    """The quotas used and those granted sum to at most 1 per service; incarnations only rise; a node with the
    current revision has the current member list."""
    for service, total in used_quotas(model).items():
        if total > MAX_QUOTA_SUM:
            quotas = [round(quota, 3) for quota in model.quotas()]
            return f"quotas used{of_service(service)} sum to {total:.3f}: {quotas}"
    for service, total in granted_quotas(model).items():
        if total > MAX_QUOTA_SUM:
            return f"quotas granted{of_service(service)} sum to {total:.3f}"
    return model.violation or member_list_invariant(model)


def member_list_invariant(model: QuotaModel) -> str | None:
    """A node with the current revision of its group's member list has the same members."""
    state = model.service.state
    for node in model.nodes:
        lease = node.lease
        if lease is None or lease.incarnation is None:
            continue
        ledger = state.services.get(node.service, state.ledger)
        if lease.incarnation not in ledger.records_by_incarnation or lease.revision != ledger.revision:
            continue
        if set(lease.members) != set(ledger.members()):
            known = [member.incarnation for member in lease.members]
            listed = list(ledger.records_by_incarnation)
            return f"{node.name} has the members {known} at {lease.revision}, listed are {listed}"
    return None


def unaffected_group_invariant(start: QuotaModel, service: str) -> Check[QuotaModel]:
    """Return the invariant that faults of other groups affect neither the quotas nor the member list of this
    service's nodes."""
    revision = start.service.state.group_revisions()[service]

    def check(model: QuotaModel) -> str | None:
        if used_quotas(model)[service] < MIN_USED_QUOTA:
            return (
                f"without a fault of their own the nodes of {service} use {used_quotas(model)[service]:.3f}"
            )
        if model.service.state.group_revisions()[service] != revision:
            return f"without a fault of its own the member list of {service} has changed"
        return quota_invariant(model)

    return check


def quota_recovery(model: QuotaModel) -> str | None:
    """After faults end, the full quota of each service is in use again within four terms."""
    final = model.run_without_faults(math.ceil(4 * TTL / model.bounds.step))
    violation = quota_invariant(final)
    if violation is not None:
        return f"in the run without faults: {violation}"
    expected = expected_quotas(final)
    for service, total in used_quotas(final).items():
        if total < MIN_USED_QUOTA * expected[service]:
            return f"4 terms after the last fault the quotas{of_service(service)} are {final.quotas()}"
    return None


def expected_quotas(model: QuotaModel) -> dict[str, float]:
    """The values of `used_quotas` once all nodes have their target quota.

    They are 1, except for a service that has fewer nodes than another one while there are nodes without a
    service: the latter get no more than the larger group leaves them.
    """
    nodes = Counter(node.service for node in model.nodes)
    external = nodes.pop(NO_SERVICE, 0)
    largest = max(nodes.values(), default=0)
    external_quota = external / max(1, external + largest)
    return {NO_SERVICE: external_quota} | {
        service: number / (number + external) + external_quota for service, number in nodes.items()
    }


def of_service(service: str) -> str:
    return f" of {service}" if service != NO_SERVICE else ""
