"""A body on its way from the connection that reads it to the one that writes it, with backpressure."""

from __future__ import annotations

from typing import Protocol

MAX_BODY_BYTES = 32 * 1024 * 1024  # of any body, either way
HIGH_WATER_BYTES = 64 * 1024  # kept while nobody takes it; the reading then stops


class Source(Protocol):
    """The end that reads."""

    def pause(self) -> None: ...

    def resume(self) -> None: ...

    def abandon(self) -> None:
        """Nobody will take the rest."""


class Sink(Protocol):
    """The end that writes."""

    def write(self, data: bytes) -> None: ...

    def end(self) -> None: ...

    def fail(self) -> None:
        """The rest will not come."""


class Body:
    """Passed on as it comes. As long as all that has come fits under the high-water mark it is kept, and may
    be taken by one sink after another; past that by none but the one that has it."""

    def __init__(self, source: Source) -> None:
        self._source = source
        self._sink: Sink | None = None
        self._replay_buffer: bytearray | None = bytearray()
        self.size = 0  # of what has come
        self.ended = False
        self.failed = False
        self.paused = False  # by a sink that can't write any more for now

    @property
    def complete_bytes(self) -> bytes | None:
        """All of it, if it has come and is kept."""
        return bytes(self._replay_buffer) if self.ended and self._replay_buffer is not None else None

    @property
    def replayable(self) -> bool:
        return self._replay_buffer is not None and self._sink is None and not self.failed

    # ------------------------------------------------------------- for the source

    def feed(self, data: bytes) -> None:
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
        if not self.failed and not self.ended:
            self.ended = True
            if self._sink is not None:
                self._sink.end()

    def fail(self) -> None:
        if not self.failed and not self.ended:
            self.failed = True
            if self._sink is not None:
                self._sink.fail()

    # --------------------------------------------------------------- for the sink

    def attach(self, sink: Sink) -> None:
        """Take what has come and all that will."""
        assert self.replayable
        self._sink = sink
        if self._replay_buffer:
            sink.write(bytes(self._replay_buffer))
        if self.ended:
            sink.end()
        elif not self.paused:
            self._source.resume()

    def pause(self) -> None:
        if not self.paused and not self.ended:  # Guard: all that can still come is its caller's leaving
            self.paused = True
            self._source.pause()

    def resume(self) -> None:
        if self.paused:
            self.paused = False
            self._source.resume()

    def detach(self, sink: Sink) -> None:
        """This sink takes no more of it."""
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
        """Nobody takes it at all."""
        self._replay_buffer = None
        self._sink = None
        if not self.ended and not self.failed:
            self._source.abandon()
