"""Service discovery: wire format of the endpoint list, the client that polls for it, and the watcher.

PROTOCOL, "Discovery", defines the protocol: `GET /discovery/hosts` returns the complete list; with `since`
and `timeout_ms` it is a long poll for the changes after a revision.
"""
