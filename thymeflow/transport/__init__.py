"""RESP2 and its connections: codec, commands, byte streams and long values in transit."""

from __future__ import annotations

from thymeflow.errors import ThymeflowError


class TransportError(ThymeflowError):
    """Base class of this package's exceptions."""
