"""Wire format of the endpoint list: `{"rev": ..., "all": ..., "targets": [...]}` (PROTOCOL, "Discovery")."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any

from loadbalancer.endpoints import Endpoint, EndpointStatus
from loadbalancer.node.address import Address, parse_address
from loadbalancer.node.discovery.errors import ListFieldError, MalformedListError, NotAListError

STATUSES = {
    "Ready": EndpointStatus.UP,
    "Terminating": EndpointStatus.DRAINING,
    "Gone": EndpointStatus.REMOVED,
}
STATUS_NAMES = {status: name for name, status in STATUSES.items()}


@dataclass(slots=True, frozen=True)
class DiscoveryResponse:
    """A complete endpoint list, or the changes to one.

    An endpoint's name is its `uid`, which is the same on every node and does not change with a restart.
    """

    revision: int
    complete: bool  # True: the complete list; False: only the entries that have changed
    endpoints: tuple[Endpoint, ...]
    addresses: dict[str, Address]  # by the endpoint's name
    service_revision: int = 0  # the list service's revision, the same on all nodes; 0 if not given


def decode_response(body: object) -> DiscoveryResponse:
    """Return the list in a decoded JSON body; raise MalformedListError if it is malformed."""
    if not isinstance(body, dict):
        raise NotAListError
    try:
        revision, complete, targets = _revision_of(body), body["all"], body["targets"]
        if type(complete) is not bool:
            raise ListFieldError(field="all", value=complete, expected="true or false")
        if not isinstance(targets, list):
            raise ListFieldError(field="targets", value=targets, expected="a list")
        endpoints = tuple(_endpoint_of(target) for target in targets)
        addresses = {target["uid"]: parse_address(target["endpoint"]) for target in targets}
    except (KeyError, TypeError, AttributeError) as error:
        message = f"malformed list: {type(error).__name__}: {error}"
        raise MalformedListError(message) from error
    service_revision = body.get("origin_rev")
    return DiscoveryResponse(
        revision,
        complete,
        endpoints,
        addresses,
        service_revision if isinstance(service_revision, int) else 0,
    )


def encode_response(response: DiscoveryResponse) -> dict[str, object]:
    """Return the wire form of a list, without removed endpoints."""
    targets = [
        _target_of(endpoint, response.addresses[endpoint.name])
        for endpoint in response.endpoints
        if endpoint.state is not EndpointStatus.REMOVED
    ]
    return {"rev": response.revision, "all": response.complete, "targets": targets}


def _revision_of(body: Mapping[str, Any]) -> int:
    revision = body["rev"]
    if type(revision) is not int or revision < 0:  # `isinstance` would accept a bool
        raise ListFieldError(field="rev", value=revision, expected="a whole number from 0")
    return revision


def _endpoint_of(target: Mapping[str, Any]) -> Endpoint:
    state = STATUSES.get(target["state"])
    if state is None:
        raise ListFieldError(field="state", value=target["state"], expected=f"one of {', '.join(STATUSES)}")
    name, zone = target["uid"], target.get("az") or ""
    if not isinstance(name, str):
        raise ListFieldError(field="uid", value=name, expected="a text")
    if not isinstance(zone, str):
        raise ListFieldError(field="az", value=zone, expected="a text")
    launched_ms = target.get("boot_ms") or 0
    model = target.get("model")
    return Endpoint(
        name=name,
        zone=zone,
        cell=int(target.get("pod_group") or 0),
        state=state,
        launched_ms=float(launched_ms) if launched_ms > 0 else None,  # 0: unknown or long ago
        model=model if isinstance(model, str) else "",  # a value of another type is ignored
    )


def _target_of(endpoint: Endpoint, address: Address) -> dict[str, object]:
    host, port = address
    return {
        "uid": endpoint.name,
        "endpoint": f"{host}:{port}",
        "az": endpoint.zone,
        "pod_group": endpoint.cell,
        "state": STATUS_NAMES[endpoint.state],
        "boot_ms": endpoint.launched_ms or 0,
    }
