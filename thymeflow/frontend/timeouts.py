"""The timeouts of client connections, in seconds."""

from __future__ import annotations

# The time in which a client must take some bytes of a pending response. It is long because some clients read slowly.
WRITE_STALL_TIMEOUT = 10.0
# The times after which a response does not keep a process from stopping: its client took no byte, or its backend wrote
# none. Backends that write slowly pause for up to 2 s.
READ_STALL_SECONDS = 1.0
REPLY_STALL_SECONDS = 3.0
# The time to the first complete command, the time for the head of a command, and the time between bytes of a body.
COMMAND_TIMEOUT = 2.3
# The idle timeout without an open command while connections are scarce. A client that has been idle for less may be
# about to send a request.
CROWDED_IDLE_TIMEOUT = 2.0
# The same for a client that has sent nothing. It is short because most clients send a command as soon as they connect.
NEW_CONNECTION_GRACE = 0.05
# The time that a client which has just connected has for its first request while the limiter drains.
DRAIN_GRACE = 0.25
# The time in which a client that has all responses can close its side, after the write side of a connection is closed.
LINGER_TIMEOUT = 1.0
# The time in which a client that has all responses can process them, before a reset shows it that commands were not
# read. Its network library may discard what it has received when it learns of the reset.
RESET_GRACE = 0.25
# The idle timeout without an open command, for a client that has sent a request and would have to connect again.
IDLE_TIMEOUT = 4.0
