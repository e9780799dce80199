"""Connections to backends, and the attempts that go over them."""
