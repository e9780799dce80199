"""Clients, over RESP2."""
