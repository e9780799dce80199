"""The timeouts of the watch on discovery. All are in seconds."""

from __future__ import annotations

POLLED_IDLE_TIMEOUT = 6.0  # without a byte: what an idle watch misses counts as notified this long after the last byte
PUSHED_IDLE_TIMEOUT = (
    4.5  # without a byte where lists are pushed, in which two heartbeats of the local agent are missing
)
CONNECT_TIMEOUT = 1.0
FIRST_LIST_TIMEOUT = 1.0  # without a first message: clients are admitted by the endpoint list as it is known
PUSHED_FIRST_MESSAGE_TIMEOUT = 0.5  # without a first message, after which another watch is opened beside
POLLED_FIRST_MESSAGE_TIMEOUT = 2.0  # the same where the list is polled from one service
