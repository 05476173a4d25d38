"""Passes a body from the connection that reads it to the connection that writes it, with backpressure."""

from __future__ import annotations

from typing import Protocol

MAX_BODY_BYTES = 32 * 1024 * 1024  # limit for the body of a request or a response
HIGH_WATER_BYTES = 64 * 1024  # default; without a sink, reading pauses once this many bytes are buffered


class Source(Protocol):
    """The connection that reads the body."""

    def pause(self) -> None:
        """Stop reading."""

    def resume(self) -> None:
        """Continue reading."""

    def abandon(self) -> None:
        """Stop permanently, as nothing will consume the rest of the body."""


class Sink(Protocol):
    """The connection that writes the body."""

    def write(self, data: bytes) -> None:
        """Write the next bytes."""

    def end(self) -> None:
        """Finish writing, as the body is complete."""

    def fail(self) -> None:
        """Abort writing, as the rest of the body will not arrive."""


class Body:
    """Passes bytes from its source to its sink as they arrive.

    A body up to the high-water mark is buffered, so that the sink of a retry can get it from the start.
    Once a longer body has a sink, it is no longer buffered, and only that sink gets the rest.
    """

    def __init__(self, source: Source, high_water_bytes: int = HIGH_WATER_BYTES) -> None:
        self._source = source
        self.high_water_bytes = high_water_bytes
        self._sink: Sink | None = None
        self._replay_buffer: bytearray | None = bytearray()
        self.size = 0  # bytes received so far
        self.ended = False
        self.failed = False
        self.paused = False  # whether the sink, which can't write at the moment, has paused the source

    @property
    def complete_bytes(self) -> bytes | None:
        """The complete body, or None if it has not arrived or is no longer buffered."""
        return bytes(self._replay_buffer) if self.ended and self._replay_buffer is not None else None

    @property
    def replayable(self) -> bool:
        """Whether a new sink can get the body from its start."""
        return self._replay_buffer is not None and self._sink is None and not self.failed

    # ---------------------------------------------------------------- for the source

    def feed(self, data: bytes) -> None:
        """Buffer the next bytes, and pass them to the sink if there is one."""
        self.size += len(data)
        if self._replay_buffer is not None:
            if self._sink is not None and self.size > self.high_water_bytes:
                self._replay_buffer = None
            else:
                self._replay_buffer += data
        if self._sink is not None:
            self._sink.write(data)
        elif self._replay_buffer is not None and self.size >= self.high_water_bytes:
            self._source.pause()

    def end(self) -> None:
        """Mark the body as complete."""
        if not self.failed and not self.ended:
            self.ended = True
            if self._sink is not None:
                self._sink.end()

    def fail(self) -> None:
        """Mark the body as failed: the rest will not arrive."""
        if not self.failed and not self.ended:
            self.failed = True
            if self._sink is not None:
                self._sink.fail()

    # ---------------------------------------------------------------- for the sink

    def attach(self, sink: Sink) -> None:
        """Pass the body to this sink from its start; it has to be replayable."""
        assert self.replayable
        self._sink = sink
        if self._replay_buffer:
            sink.write(bytes(self._replay_buffer))
        if self.ended:
            sink.end()
        elif not self.paused:
            self._source.resume()

    def pause(self) -> None:
        """Pause the source. After the end of the body it keeps reading, to detect a disconnect."""
        if not self.paused and not self.ended:
            self.paused = True
            self._source.pause()

    def resume(self) -> None:
        """Resume the source after `pause`."""
        if self.paused:
            self.paused = False
            self._source.resume()

    def detach(self, sink: Sink) -> None:
        """Stop passing data to this sink; the source stops as well if no other sink can get the body."""
        if self._sink is not sink:
            return
        self._sink = None
        self.resume()
        if self.ended or self.failed:
            return
        if self._replay_buffer is None:
            self._source.abandon()
        elif self.size >= self.high_water_bytes:
            self._source.pause()

    def discard(self) -> None:
        """Drop the body, as no sink needs it."""
        self._replay_buffer = None
        self._sink = None
        if not self.ended and not self.failed:
            self._source.abandon()
