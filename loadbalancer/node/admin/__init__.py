"""The operators' HTTP server and the counters that it reports."""
