"""Connections to endpoints, and the attempts that use them."""
