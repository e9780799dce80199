"""The bound on the memory for responses that clients have not read yet."""

from __future__ import annotations


class ResponseMemory:
    """Counts the bytes of responses that clients have not read yet, over all connections, against a bound.

    Memory for long responses that are received before they begin is reserved apart, and closes no connection.
    """

    __slots__ = ("max_bytes", "reserved_bytes", "used_bytes")

    def __init__(self, max_bytes: int) -> None:
        self.used_bytes = 0
        self.reserved_bytes = 0
        self.max_bytes = max_bytes  # above this bound connections are closed

    def set_max_bytes(self, max_bytes: int) -> None:
        """Set the bound that applies to responses added from now on."""
        self.max_bytes = max_bytes

    def is_exceeded(self) -> bool:
        """Return whether more bytes of responses are pending than the bound permits."""
        return self.used_bytes > self.max_bytes

    def has_capacity(self) -> bool:
        """Return whether a client that already has pending responses may cause more of them."""
        return self.used_bytes + self.reserved_bytes <= self.max_bytes // 2

    def reserve(self, size: int) -> bool:
        """Reserve `size` bytes for a long response, if it then takes half of the bound at most with all others."""
        if self.used_bytes + self.reserved_bytes + size > self.max_bytes // 2:
            return False
        self.reserved_bytes += size
        return True

    def can_ever_reserve(self, size: int) -> bool:
        """Return whether `size` bytes could be reserved if nothing else was counted."""
        return size <= self.max_bytes // 2

    def release(self, size: int) -> None:
        """Release reserved bytes."""
        self.reserved_bytes -= size
