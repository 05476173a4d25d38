"""Limits of an HTTP message that apply to requests and responses alike."""

from __future__ import annotations

MAX_HEAD_BYTES = 16 * 1024  # names and values of headers and trailers
MIN_BODY_BYTES_PER_S = 48_000.0  # lowest mean rate of a body; the platform grants 64 kB/s
MAX_FIELDS = 256  # headers and trailers
FIELD_BYTES = 160  # memory of one field's objects, beside its text


class TooManyFieldsError(ValueError):
    """A message has more headers and trailers than MAX_FIELDS."""

    def __init__(self) -> None:
        super().__init__(f"the message has more than {MAX_FIELDS} fields")
