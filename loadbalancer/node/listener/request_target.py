"""The forms of a request target (RFC 9112, section 3.2)."""

from __future__ import annotations

import re

SCHEMES = (b"http", b"https")


def origin_form(target: bytes) -> bytes:
    """Return a target's path and query: the origin form that endpoints receive (RFC 9112, section 3.2.1)."""
    scheme, _, rest = target.partition(b"://")
    if target.startswith(b"/") or scheme.lower() not in SCHEMES:
        return target
    path = rest[len(re.split(rb"[/?]", rest, maxsplit=1)[0]) :]
    return path if path.startswith(b"/") else b"/" + path
