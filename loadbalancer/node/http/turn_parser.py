"""Parses received bytes in turns, so that the work for one connection in one loop iteration is bounded.

httptools parses all bytes that it is given at once, and reports each header and each chunk, however short. It
gets slices here that end with the message in progress at the latest, until the work of a turn is done.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

import httptools

MAX_STEPS_PER_TURN = 64  # callbacks of the parser, and slices given to it
SLICE_BYTES = 512  # of a head, or of a body with small chunks
MAX_SLICE_BYTES = 16 * 1024  # of a body with large chunks
LARGE_CHUNK_STEPS = 2  # a slice with at most so many callbacks is part of large chunks
MAX_SILENT_BYTES = 16 * 1024  # without a callback; httptools may buffer them
HEAD_END = b"\r\n\r\n"
LINE_BREAKS = b"\r\n"


class TurnMessage(Protocol):
    """The message in progress, as the receiver of the callbacks knows it."""

    steps: int  # callbacks so far
    completed: int  # messages received completely so far

    @property
    def between_messages(self) -> bool:
        """Whether no byte of a message has been received since the last one ended."""
        ...

    @property
    def remaining_body(self) -> int | None:
        """The bytes left of a body whose length is known; None in a head or another body."""
        ...

    @property
    def in_body(self) -> bool:
        """Whether a body is being received."""
        ...


class MalformedMessageError(Exception):
    """The received bytes are no HTTP message, or a part of it is too long to be buffered."""


class TurnParser:
    """Gives received bytes to `parse`, at most one turn's work at a time.

    A turn ends with a complete message, or after MAX_STEPS_PER_TURN. The bytes behind it wait for `resume`.
    `feed` and `resume` raise MalformedMessageError; nothing is parsed afterwards.
    """

    __slots__ = (
        "_failed",
        "_message",
        "_offset",
        "_parse",
        "_slice_bytes",
        "_unparsed",
        "has_unparsed",
        "silent_bytes",
    )

    def __init__(self, parse: Callable[[bytes], None], message: TurnMessage) -> None:
        self._parse = parse
        self._message = message
        self._unparsed = b""
        self._offset = 0  # of the first unparsed byte
        self._slice_bytes = SLICE_BYTES
        self._failed = False
        self.has_unparsed = False  # whether the last turn has left received bytes, which wait for `resume`
        self.silent_bytes = 0  # parsed since the last callback; httptools may buffer them

    @property
    def memory_bytes(self) -> int:
        """The memory of the bytes that are not parsed or not reported yet."""
        return len(self._unparsed) + self.silent_bytes

    def feed(self, data: bytes) -> None:
        """Parse received bytes, up to the limit of a turn."""
        if self._failed:
            return
        if not self._unparsed:
            if len(data) <= SLICE_BYTES and self._is_one_message(data):
                self.silent_bytes = 0
                self._parse_checked(data)
                return
            self._unparsed = data
        else:
            self._unparsed = self._unparsed[self._offset :] + data
        self._offset = 0
        self.resume()

    def resume(self) -> None:
        """Parse bytes that earlier turns have left, up to the limit of a turn."""
        if self._message.between_messages:
            self._skip_empty_lines()
        self.has_unparsed = False
        try:
            self._run_turn()
        finally:
            if self._offset >= len(self._unparsed):
                self.discard()
            else:
                self.has_unparsed = True

    def stop(self) -> None:
        """Discard all bytes, and parse nothing more."""
        self._failed = True
        self.discard()

    def discard(self) -> None:
        """Discard the bytes that are not parsed."""
        self._unparsed, self._offset = b"", 0
        self.has_unparsed = False

    def close(self) -> None:
        """Stop, and drop the references to the parser and the message."""
        self.stop()
        del self._parse, self._message

    # ---------------------------------------------------------------- internals

    def _is_one_message(self, data: bytes) -> bool:
        """Whether the bytes begin a message and end at most one."""
        return (
            data.count(HEAD_END) == 1
            and not data.startswith((b"\r", b"\n"))
            and self._message.between_messages
        )

    def _parse_checked(self, data: bytes) -> None:
        """Give the parser these bytes; raise MalformedMessageError if they are invalid."""
        try:
            self._parse(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as error:
            self.stop()
            raise MalformedMessageError(error) from error

    def _run_turn(self) -> None:
        completed, steps = self._message.completed, 0
        while self._offset < len(self._unparsed) and not self._failed:
            steps += self._parse_slice()
            if completed != self._message.completed or steps >= MAX_STEPS_PER_TURN:
                break

    def _skip_empty_lines(self) -> None:
        """Skip line breaks before a message; each pair of them would otherwise end a slice."""
        if self._unparsed[self._offset : self._offset + 1] in (b"\r", b"\n"):
            unparsed = self._unparsed[self._offset :]
            self._unparsed, self._offset = unparsed.lstrip(LINE_BREAKS), 0
            self._count_silent(len(unparsed) - len(self._unparsed))

    def _count_silent(self, size: int) -> None:
        """Count bytes that no callback has reported; raise MalformedMessageError over the limit."""
        self.silent_bytes += size
        if self.silent_bytes > MAX_SILENT_BYTES:
            self.stop()
            raise MalformedMessageError(MAX_SILENT_BYTES)

    def _parse_slice(self) -> int:
        """Give the parser the next slice; return the number of steps that it took."""
        message, data, end = self._message, self._unparsed, self._slice_end()
        if self._offset or end < len(data):
            data = data[self._offset : end]
        self._offset = end
        steps = message.steps
        self._parse_checked(data)
        steps = message.steps - steps
        if steps:
            self.silent_bytes = 0
        else:
            self._count_silent(len(data))
        large_chunks = message.in_body and steps <= LARGE_CHUNK_STEPS
        self._slice_bytes = min(2 * self._slice_bytes, MAX_SLICE_BYTES) if large_chunks else SLICE_BYTES
        return 1 + steps

    def _slice_end(self) -> int:
        """Return the end of the next slice: that of the head or body in progress at the latest."""
        data, offset = self._unparsed, self._offset
        remaining = self._message.remaining_body
        if remaining is not None:
            return min(len(data), offset + max(1, remaining))
        limit = min(len(data), offset + self._slice_bytes)
        head_end = data.find(HEAD_END, offset, limit)
        return limit if head_end < 0 else head_end + len(HEAD_END)
