"""Callers' connections: the listener, its limits, and the requests that arrive on it."""
