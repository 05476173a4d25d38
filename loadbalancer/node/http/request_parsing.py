"""An incremental parser of HTTP/1.1 requests that ignores offers to switch to another protocol.

httptools ends a request that offers a switch (`Connection: Upgrade` with an Upgrade header) at the end of its
head and leaves its body to the caller, who is expected to switch. A server that doesn't switch has to ignore
the offer (RFC 9110, section 7.8): the body belongs to the request, and further requests may follow it.
"""

from __future__ import annotations

import httptools

CONNECT = b"CONNECT"
FRAMING_HEADERS = (b"content-length", b"transfer-encoding")


class RequestCallbacks:
    """Callbacks of `UpgradeIgnoringParser`. Those for received data do nothing by default."""

    def framing_header(self, name: bytes) -> bytes | None:
        """Return the value of this header (lower-case name) of the request in progress, or None."""
        raise NotImplementedError

    def on_message_begin(self) -> None:
        """Handle the first byte of a request."""

    def on_url(self, url: bytes) -> None:
        """Handle a part of the request target."""

    def on_header(self, name: bytes, value: bytes) -> None:
        """Handle a header, or a trailer."""

    def on_headers_complete(self) -> None:
        """Handle the end of the head."""

    def on_body(self, body: bytes) -> None:
        """Handle a part of the body."""

    def on_message_complete(self) -> None:
        """Handle the end of the request, its body included."""


class UpgradeIgnoringParser:
    """Parses requests like `httptools.HttpRequestParser`, those that offer a switch of protocols included.

    Such a request's framing headers are parsed once more by a new parser, without the offer. That parser then
    reads the request's body and all later requests.
    """

    def __init__(self, callbacks: RequestCallbacks) -> None:
        self._callbacks = callbacks
        self.on_message_begin = callbacks.on_message_begin
        self.on_url = callbacks.on_url
        self.on_header = callbacks.on_header
        self.on_headers_complete = callbacks.on_headers_complete
        self.on_body = callbacks.on_body
        self._parser = httptools.HttpRequestParser(self)

    def feed_data(self, data: bytes) -> None:
        """Parse received bytes.

        Raise `httptools.HttpParserError` if they are no HTTP request, and `httptools.HttpParserUpgrade` after
        the head of a CONNECT request, whose end is never reported.
        """
        remaining: bytes | memoryview = data
        while remaining:
            try:
                self._parser.feed_data(remaining)
                return
            except httptools.HttpParserUpgrade as offer:
                if self.get_method() == CONNECT:
                    raise
                head_size: int = offer.args[0]
                remaining = memoryview(remaining)[head_size:]
            self._resume_without_offer()

    def close(self) -> None:
        """Drop the references to the callbacks; nothing may be parsed afterwards."""
        del self._parser

    def get_method(self) -> bytes:
        """Return the method of the request in progress."""
        return self._parser.get_method()

    def get_http_version(self) -> str:
        """Return the HTTP version of the request in progress."""
        return self._parser.get_http_version()

    def should_keep_alive(self) -> bool:
        """Return whether the connection stays open after the request in progress."""
        return self._parser.should_keep_alive()

    def on_message_complete(self) -> None:
        """Report the end of a request, but not that of a head with an offer (called by httptools)."""
        if not self._parser.should_upgrade():
            self._callbacks.on_message_complete()

    def _resume_without_offer(self) -> None:
        head = self._framing_head()
        self._parser = httptools.HttpRequestParser(_CallbacksAfterHead(self))
        self._parser.feed_data(head)

    def _framing_head(self) -> bytes:
        version = self.get_http_version().encode()
        lines = [self.get_method() + b" / HTTP/" + version]
        lines.append(b"connection: " + (b"keep-alive" if self.should_keep_alive() else b"close"))
        for name in FRAMING_HEADERS:
            value = self._callbacks.framing_header(name)
            if value is not None:
                lines.append(name + b": " + value)
        return b"\r\n".join(lines) + b"\r\n\r\n"


class _CallbacksAfterHead(RequestCallbacks):
    """Passes on all callbacks but those of the first head, which have been called already."""

    def __init__(self, parser: UpgradeIgnoringParser) -> None:
        self._parser = parser
        self._skips = True

    def on_message_begin(self) -> None:
        """Pass on the start of a request."""
        if not self._skips:
            self._parser.on_message_begin()

    def on_url(self, url: bytes) -> None:
        """Pass on a part of the target."""
        if not self._skips:
            self._parser.on_url(url)

    def on_header(self, name: bytes, value: bytes) -> None:
        """Pass on a header or trailer."""
        if not self._skips:
            self._parser.on_header(name, value)

    def on_headers_complete(self) -> None:
        """Pass on the end of a head, and everything from the end of the first one on."""
        if not self._skips:
            self._parser.on_headers_complete()
        self._skips = False

    def on_body(self, body: bytes) -> None:
        """Pass on a part of the body."""
        self._parser.on_body(body)

    def on_message_complete(self) -> None:
        """Pass on the end of a request."""
        self._parser.on_message_complete()
