"""A body on its way from the connection that reads it to the one that writes it, with backpressure."""

from __future__ import annotations

from typing import Protocol

MAX_BODY_BYTES = 32 * 1024 * 1024  # of a request or a response
HIGH_WATER_BYTES = 64 * 1024  # buffered without a sink; reading pauses then


class Source(Protocol):
    """The end that reads the body."""

    def pause(self) -> None:
        """Stop reading."""

    def resume(self) -> None:
        """Read on."""

    def abandon(self) -> None:
        """Provide no more, as nothing will take it."""


class Sink(Protocol):
    """The end that writes the body."""

    def write(self, data: bytes) -> None:
        """Write the next bytes."""

    def end(self) -> None:
        """The body is complete."""

    def fail(self) -> None:
        """The rest of the body will not come."""


class Body:
    """Passes bytes from its source to its sink as they arrive.

    While all that has arrived fits under the high-water mark it is kept, so that one sink after another may
    take the body from its start. Past that, only the sink that has it gets the rest.
    """

    def __init__(self, source: Source) -> None:
        self._source = source
        self._sink: Sink | None = None
        self._replay_buffer: bytearray | None = bytearray()
        self.size = 0  # bytes that have arrived
        self.ended = False
        self.failed = False
        self.paused = False  # by a sink that can't write at present

    @property
    def complete_bytes(self) -> bytes | None:
        """The complete body, if it has arrived and is kept."""
        return bytes(self._replay_buffer) if self.ended and self._replay_buffer is not None else None

    @property
    def replayable(self) -> bool:
        """Whether a sink may take it from its start."""
        return self._replay_buffer is not None and self._sink is None and not self.failed

    # ---------------------------------------------------------------- for the source

    def feed(self, data: bytes) -> None:
        """Take the next bytes."""
        self.size += len(data)
        if self._replay_buffer is not None:
            if self._sink is not None and self.size > HIGH_WATER_BYTES:
                self._replay_buffer = None
            else:
                self._replay_buffer += data
        if self._sink is not None:
            self._sink.write(data)
        elif self._replay_buffer is not None and self.size >= HIGH_WATER_BYTES:
            self._source.pause()

    def end(self) -> None:
        """Mark the body as complete."""
        if not self.failed and not self.ended:
            self.ended = True
            if self._sink is not None:
                self._sink.end()

    def fail(self) -> None:
        """Mark the body as one whose rest will not come."""
        if not self.failed and not self.ended:
            self.failed = True
            if self._sink is not None:
                self._sink.fail()

    # ---------------------------------------------------------------- for the sink

    def attach(self, sink: Sink) -> None:
        """Pass all that has arrived and will come to this sink; the body has to be replayable."""
        assert self.replayable
        self._sink = sink
        if self._replay_buffer:
            sink.write(bytes(self._replay_buffer))
        if self.ended:
            sink.end()
        elif not self.paused:
            self._source.resume()

    def pause(self) -> None:
        """Stop the source. At the end of the body it reads on: only a disconnect can still come."""
        if not self.paused and not self.ended:
            self.paused = True
            self._source.pause()

    def resume(self) -> None:
        """Let the source go on after `pause`."""
        if self.paused:
            self.paused = False
            self._source.resume()

    def detach(self, sink: Sink) -> None:
        """Pass nothing more to this sink."""
        if self._sink is not sink:
            return
        self._sink = None
        self.resume()
        if self.ended or self.failed:
            return
        if self._replay_buffer is None:
            self._source.abandon()
        elif self.size >= HIGH_WATER_BYTES:
            self._source.pause()

    def discard(self) -> None:
        """Drop the body: no sink will take it."""
        self._replay_buffer = None
        self._sink = None
        if not self.ended and not self.failed:
            self._source.abandon()
