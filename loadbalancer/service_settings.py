"""Settings of the balancing policy: service classes, tenants and the limits of one tier.

Times are in milliseconds, rates in requests per second. Values are checked when a `Settings` is built, which
raises a SettingError for the first one that is wrong.
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

MIN_POSITIVE_NUMBER = 0.001  # of a number that has to be above 0
MAX_NUMBER = 1e12  # products and sums of larger numbers overflow, and limits made of them never bind


class Effect(Enum):
    """What a retry of a request does."""

    IDEMPOTENT = "safe"  # nothing further: it may be retried freely
    IDEMPOTENCY_KEY = "keyed"  # a group of servers drops retries while it remembers the key
    NON_IDEMPOTENT = "unsafe"  # a second effect: it must never be executed twice


class DeduplicationScope(Enum):
    """The group of servers that drops retries of a request with an idempotency key."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


@dataclass(slots=True, frozen=True)
class ServiceClass:
    """A class of requests that share objectives and retry rules."""

    name: str
    latency_objective_ms: float  # a response within this earns the full priority weight
    client_timeout_ms: float  # for which a client waits, over all attempts
    priority_weight: float = 1.0
    late_weight: float = 0.0  # part of the priority weight that a response past the objective earns
    effect: Effect = Effect.NON_IDEMPOTENT
    deduplication_scope: DeduplicationScope = DeduplicationScope.ALL
    deduplication_window_ms: float = 0.0  # for which the group remembers a key
    stream: bool = False  # responses are streams by nature
    latency_objective_stretch: float = 0.0  # multiple of a request's work by which its objective is later


@dataclass(slots=True, frozen=True)
class Tenant:
    """A tenant with a quota."""

    name: str
    quota_per_s: float  # over all balancers of the tier together


@dataclass(slots=True, frozen=True)
class Settings:
    """The settings of a balancer."""

    classes: tuple[ServiceClass, ...]
    tenants: tuple[Tenant, ...] = ()
    zone: str = ""
    tier: int = 0  # 0 is the tier that clients reach
    siblings: int = 1  # balancers that send to this tier, this one included
    poll_discovery: bool = False  # the endpoint list is polled, not pushed
    weight_by_work: bool = False  # a request's weight is its work, not 1
    over_quota_weight: float = 1.0  # factor on the weight of a request over its tenant's quota
    load_report_fields: tuple[str, ...] = ()  # in the order of the simulator's reports
    may_cancel: bool = False
    retry_after: bool = False  # rejections carry Retry-After
    max_retry_after_ms: float = 0.0
    max_attempts: int = 1  # of one request
    cross_zone_price: float = 0.0
    slow_start_from: float = 1.0  # part of its capacity that an endpoint starts with
    slow_start_ms: float = 0.0  # until it has its full capacity
    overload_factor: float = 2.0  # a server in slow start fails above so many times its capacity

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
