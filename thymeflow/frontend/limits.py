"""The bounds that a frontend keeps to."""

from __future__ import annotations

from typing import NamedTuple


class FrontendLimits(NamedTuple):
    """The bound on client connections, and the bounds in bytes on what is buffered for all of them."""

    max_clients: int
    response_bytes: int  # responses that clients have not read
    body_bytes: int  # long request bodies that backends have not taken
    read_ahead_bytes: int  # commands that wait for earlier ones
    unfinished_input_bytes: int  # incomplete commands
