"""The RESP2 protocol: its codec, the commands, the connections, and long values in transit."""

from __future__ import annotations

from thymeflow.errors import ThymeflowError


class TransportError(ThymeflowError):
    """Base class of this package's exceptions."""
