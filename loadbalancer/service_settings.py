"""Settings of the balancing policy: service classes, tenants and the limits of one tier.

Times are in milliseconds, rates in requests per second. `Settings` checks its values when it is built and
raises a SettingError for the first invalid one.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from enum import Enum

from loadbalancer.errors import (
    DuplicateNameError,
    NoServiceClassError,
    SettingRangeError,
    SettingTypeError,
)

MIN_POSITIVE_NUMBER = 0.001  # smallest value of a setting that must be positive
MAX_NUMBER = 1e12  # larger numbers overflow in products and sums, and as limits they never apply


class Effect(Enum):
    """The effect of executing a request a second time."""

    IDEMPOTENT = "safe"  # a second execution has no effect: it may be retried freely
    IDEMPOTENCY_KEY = "keyed"  # servers that remember the key drop a retry
    NON_IDEMPOTENT = "unsafe"  # a second execution takes effect again: it must never happen


class DeduplicationScope(Enum):
    """The group of servers that drops retries of a request with an idempotency key."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


@dataclass(slots=True, frozen=True)
class ServiceClass:
    """A class of requests that share objectives and retry rules."""

    name: str
    latency_objective_ms: float  # a response within this time counts with the full priority weight
    client_timeout_ms: float  # how long a client waits, over all attempts
    priority_weight: float = 1.0
    late_weight: float = 0.0  # part of the priority weight with which a later response counts
    effect: Effect = Effect.NON_IDEMPOTENT
    deduplication_scope: DeduplicationScope = DeduplicationScope.ALL
    deduplication_window_ms: float = 0.0  # how long the group remembers a key
    stream: bool = False  # responses are streamed
    latency_objective_stretch: float = 0.0  # multiple of a request's work that is added to its objective


@dataclass(slots=True, frozen=True)
class Tenant:
    """A tenant with a quota."""

    name: str
    quota_per_s: float  # the sum over all balancers of the tier


@dataclass(slots=True, frozen=True)
class Settings:
    """The settings of a balancer."""

    classes: tuple[ServiceClass, ...]
    tenants: tuple[Tenant, ...] = ()
    zone: str = ""
    tier: int = 0  # 0 is the front tier, which clients send to
    siblings: int = 1  # balancers that send to this tier, including this one
    poll_discovery: bool = False  # true: the endpoint list is polled; false: it is pushed
    weight_by_work: bool = False  # true: a request's weight is its expected work; false: it is 1
    over_quota_weight: float = 1.0  # factor on the priority of a request over its tenant's quota
    load_report_fields: tuple[str, ...] = ()  # in the order of the simulator's reports
    may_cancel: bool = False  # attempts in flight may be cancelled
    retry_after: bool = False  # rejections carry Retry-After
    max_retry_after_ms: float = 0.0
    max_attempts: int = 1  # per request
    cross_zone_price: float = 0.0
    slow_start_from: float = 1.0  # initial capacity of an endpoint in slow start over its full capacity
    slow_start_ms: float = 0.0  # duration of the slow start
    overload_factor: float = 2.0  # a server in slow start fails above this multiple of its capacity

    def __post_init__(self) -> None:
        if not self.classes:
            raise NoServiceClassError(setting="classes")
        for index, service_class in enumerate(self.classes):
            _check_class(f"classes[{index}]", service_class)
        for index, tenant in enumerate(self.tenants):
            check_within(f"tenants[{index}].quota_per_s", tenant.quota_per_s, 0)
        for name in ("tier", "max_retry_after_ms", "cross_zone_price", "slow_start_ms"):
            check_within(name, getattr(self, name), 0)
        for name in ("siblings", "max_attempts"):
            check_within(name, getattr(self, name), 1)
        for name in ("poll_discovery", "weight_by_work", "may_cancel", "retry_after"):
            check_bool(name, getattr(self, name))
        if not isinstance(self.zone, str):
            raise SettingTypeError(setting="zone", value=self.zone, expected="a string")
        check_within("overload_factor", self.overload_factor, MIN_POSITIVE_NUMBER)
        check_within("over_quota_weight", self.over_quota_weight, 0, 1)
        check_within("slow_start_from", self.slow_start_from, MIN_POSITIVE_NUMBER, 1)
        _check_unique("classes", (service_class.name for service_class in self.classes))
        _check_unique("tenants", (tenant.name for tenant in self.tenants))


def _check_class(setting: str, service_class: ServiceClass) -> None:
    for name in ("latency_objective_ms", "client_timeout_ms"):
        check_within(f"{setting}.{name}", getattr(service_class, name), MIN_POSITIVE_NUMBER)
    for name in (
        "priority_weight",
        "late_weight",
        "latency_objective_stretch",
        "deduplication_window_ms",
    ):
        check_within(f"{setting}.{name}", getattr(service_class, name), 0)
    check_bool(f"{setting}.stream", service_class.stream)


def check_within(setting: str, value: object, low: float, high: float = MAX_NUMBER) -> None:
    """Raise SettingRangeError unless the value is a number from `low` to `high`."""
    if not isinstance(value, int | float) or isinstance(value, bool) or not low <= value <= high:
        raise SettingRangeError(setting, value, low, high)


def check_bool(setting: str, value: object) -> None:
    """Raise SettingTypeError unless the value is true or false."""
    if not isinstance(value, bool):
        raise SettingTypeError(setting, value, "true or false")


def _check_unique(setting: str, names: Iterable[str]) -> None:
    seen: set[str] = set()
    for name in names:
        if name in seen:
            raise DuplicateNameError(setting, name)
        seen.add(name)
