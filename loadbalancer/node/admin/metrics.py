"""The node's counters since the start of the process, and their text form."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable, Mapping
from http import HTTPStatus

# Plain integers, as the status of every response is compared with them.
SUCCESS_STATUS = HTTPStatus.OK.value
OVERLOAD_STATUSES = (HTTPStatus.TOO_MANY_REQUESTS.value, HTTPStatus.SERVICE_UNAVAILABLE.value)


class NodeMetrics:
    """Counts responses by class and kind, reloads of the configuration, and attempts sent."""

    def __init__(self, classes: Iterable[str]) -> None:
        self._responses = {name: {"success": 0, "overload": 0, "error": 0} for name in classes}
        self.reloads = {"success": 0, "failure": 0}
        self.attempts_sent = 0  # attempts whose last byte has been written
        self.limits: Counter[str] = Counter()  # rejections and closes at a limit, by reason

    def count_response(self, class_name: str, status: int) -> None:
        """Count the final response to a request of this class."""
        if status == SUCCESS_STATUS:
            kind = "success"
        else:
            kind = "overload" if status in OVERLOAD_STATUSES else "error"
        self._responses[class_name][kind] += 1

    def count_attempt_sent(self) -> None:
        """Count an attempt whose last byte has been written."""
        self.attempts_sent += 1

    def count_limit(self, reason: str, count: int = 1) -> None:
        """Count rejections or closes because a limit was reached."""
        self.limits[reason] += count

    def render(
        self, concurrent: int, targets: int, disabled: int, closes: Mapping[str, int] | None = None
    ) -> bytes:
        """Return the lines of GET /status/metrics.

        `concurrent` is the number of requests in flight, `targets` the number of listed endpoints, and
        `disabled` how many of these are ejected. `closes` are connections closed at a limit, by reason. A
        limit that was never reached has no line.
        """
        limits = dict(self.limits) | dict(closes or {})
        lines = [
            f"proxy.replies.{name}.{kind}={count}"
            for name, responses in self._responses.items()
            for kind, count in responses.items()
        ]
        lines += [f"proxy.reload_{kind}={count}" for kind, count in self.reloads.items()]
        lines += [f"proxy.limits.{reason}={count}" for reason, count in sorted(limits.items()) if count]
        lines += [
            f"proxy.dispatches={self.attempts_sent}",
            f"proxy.concurrent={concurrent}",
            f"proxy.targets={targets}",
            f"proxy.targets_disabled={disabled}",
        ]
        return ("\n".join(lines) + "\n").encode()
