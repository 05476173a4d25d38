"""Connections to servers and the attempts that run on them."""
