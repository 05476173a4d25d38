"""Counters that run from the start of the process, and their text form."""

from __future__ import annotations

from collections.abc import Iterable

OVERLOAD = (429, 503)


class NodeMetrics:
    """What the node reports of itself."""

    def __init__(self, classes: Iterable[str]) -> None:
        self._replies = {name: {"success": 0, "overload": 0, "error": 0} for name in classes}
        self.reloads = {"success": 0, "failure": 0}  # of the configuration
        self.attempts_sent = 0  # attempts written whole to servers

    def count_response(self, name: str, status: int) -> None:
        """Count a final answer to a request of this class."""
        kind = "success" if status == 200 else "overload" if status in OVERLOAD else "error"
        self._replies[name][kind] += 1

    def count_attempt_sent(self) -> None:
        """Count an attempt that has been written whole."""
        self.attempts_sent += 1

    def render(self, concurrent: int, targets: int, disabled: int) -> bytes:
        lines = [
            f"proxy.replies.{name}.{kind}={count}"
            for name, replies in self._replies.items()
            for kind, count in replies.items()
        ]
        lines += [f"proxy.reload_{kind}={count}" for kind, count in self.reloads.items()]
        lines += [
            f"proxy.dispatches={self.attempts_sent}",
            f"proxy.concurrent={concurrent}",
            f"proxy.targets={targets}",
            f"proxy.targets_disabled={disabled}",
        ]
        return ("\n".join(lines) + "\n").encode()
