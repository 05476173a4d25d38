"""Service discovery: the endpoint list's wire form, the client that polls for it and the watch that uses it.

The protocol is that of PROTOCOL, "Discovery": `GET /discovery/hosts` gives the complete list, and with
`since` and `timeout_ms` it is a long poll for what has changed since a revision.
"""
