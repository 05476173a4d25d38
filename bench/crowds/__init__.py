"""Crowds of clients in each form and state of a request: a node's peak memory and a steady client's wait."""
