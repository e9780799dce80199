"""The timeouts of the watch on discovery, in seconds."""

from __future__ import annotations

# Time without a byte. A change that an idle watch has missed counts as notified this long after the watch's last byte.
POLLED_IDLE_TIMEOUT = 6.0
# Time without a byte where lists are pushed; two heartbeats of the local agent are missing by then.
PUSHED_IDLE_TIMEOUT = 4.5
CONNECT_TIMEOUT = 1.0
# Time to the first message; after that, clients are admitted by the known endpoint list.
FIRST_LIST_TIMEOUT = 1.0
# Time to a stream's first message, after which another stream is opened in addition to it.
PUSHED_FIRST_MESSAGE_TIMEOUT = 0.5
POLLED_FIRST_MESSAGE_TIMEOUT = 2.0
