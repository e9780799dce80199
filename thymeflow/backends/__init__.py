"""Connections to the backends, and the attempts that are sent over them."""
