"""Distinguishes a server that hangs in the middle of a response from one that sends it slowly."""

from __future__ import annotations

MIN_SILENCE_S = 0.4  # with the response's margin and a busy loop, within 0.5 s after the deadline
MAX_SILENCE_S = 1.9  # clients give up a response after 2 s without data
PAUSE_FACTOR = 2.0  # a server that has paused once may pause for longer the next time


class StreamProgress:
    """The pauses between the parts of a streamed response, which tell when its server counts as hanging.

    A server that sends a response slowly pauses again and again, so a pause says little if there were others
    that were as long. One that is far longer than any before is taken for the end.
    """

    __slots__ = ("_last_data_at", "_longest_pause_s")

    def __init__(self, now: float) -> None:
        self._last_data_at = now  # loop time (s) of the last data or the last end of a pause of the client
        self._longest_pause_s = 0.0

    def on_data(self, now: float) -> None:
        """Record data from the server at loop time `now` (s)."""
        pause_s = now - self._last_data_at
        if pause_s > self._longest_pause_s:
            self._longest_pause_s = pause_s
        self._last_data_at = now

    def on_client_ready(self, now: float) -> None:
        """Record that the client reads again at loop time `now` (s); the server could not send until then."""
        self._last_data_at = now

    def is_silent(self, now: float) -> bool:
        """Whether, at loop time `now` (s), the server has sent nothing for `MAX_SILENCE_S`."""
        return now - self._last_data_at >= MAX_SILENCE_S

    @property
    def hanging_at(self) -> float:
        """The loop time (s) at which the server counts as hanging if it sends nothing until then."""
        expected_s = max(MIN_SILENCE_S, PAUSE_FACTOR * self._longest_pause_s)
        return self._last_data_at + min(expected_s, MAX_SILENCE_S)
