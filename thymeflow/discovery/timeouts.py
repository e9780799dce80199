"""The timeouts of the watch on discovery. All are in seconds."""

from __future__ import annotations

SILENCE = 6.0  # without a byte: the changes that an idle watch misses count as notified this long after the last one
HEARTBEATS = 4.5  # without a byte from an agent on this machine, which is two of its empty lines: its watch is idle
CONNECT_TIMEOUT = 1.0
FIRST = 1.0  # without a first message: clients are admitted by the endpoint list as it is known
PUSHED_FIRST_MESSAGE_TIMEOUT = 0.5  # without a first message, after which another watch is opened beside
POLLED_FIRST_MESSAGE_TIMEOUT = 2.0  # the same where the list is polled from one service
