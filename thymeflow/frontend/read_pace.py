"""Whether a client connection is read, how much at a time, and whether all that its client sent was read. No I/O."""

from __future__ import annotations

from math import inf

COMMAND_READ_BYTES = 16 * 1024  # bytes that are read at a time, as many clients may send more than may be executed
OVERRUN_READ_BYTES = 128 * 1024  # the same for a client whose commands are rejected until all of them are read
BODY_READ_BYTES = 256 * 1024  # bytes of a long body that are read at a time
RESUME_SECONDS = 0.05  # time in which a client's machine sends on after it was not read from


class ReadPace:
    """The state of reading from one client connection."""

    __slots__ = ("_resumed_at", "is_overrun", "is_reading")

    def __init__(self) -> None:
        self.is_reading = True  # whether the transport was last resumed, and not paused
        self.is_overrun = False  # reading had to stop, so that bytes or a close may wait at the client's machine
        self._resumed_at = -inf  # time at which reading was last resumed

    def set_reading(self, should_read: bool, now: float) -> bool:
        """Record whether to read from now on, and return whether that is a change."""
        if should_read == self.is_reading:
            return False
        self.is_reading = should_read
        if should_read:
            self._resumed_at = now
        return True

    def on_read(self, now: float, *, is_all_read: bool) -> None:
        """Record a read, which took all that had arrived if `is_all_read` is set."""
        if is_all_read and now - self._resumed_at > RESUME_SECONDS:
            self.is_overrun = False

    def choose_command_read_bytes(self, has_memory: bool) -> int:
        """Return the bytes to read at a time outside a body; `has_memory`: more commands may wait."""
        return OVERRUN_READ_BYTES if self.is_overrun and has_memory else COMMAND_READ_BYTES
