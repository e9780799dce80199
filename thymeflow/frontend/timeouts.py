"""The timeouts of client connections. All are in seconds."""

from __future__ import annotations

WRITE_STALL_TIMEOUT = 10.0  # without a byte taken of what was written, for a client that reads slowly
COMMAND_TIMEOUT = 2.3  # to the first complete command, for the head of one, and without a byte of a body
CROWDED_IDLE_TIMEOUT = 2.0  # with nothing open, where connections are scarce; before, a request may be near
NEW_CONNECTION_GRACE = 0.05  # the same for a client that has sent nothing, as most send as they connect
DRAIN_GRACE = 0.25  # while draining, for a client that has just connected and is about to send a request
LINGER_TIMEOUT = 1.0  # from an error line that ends a connection to its close
IDLE_TIMEOUT = 4.0  # with nothing open, for a client that has sent a request; it would connect again
