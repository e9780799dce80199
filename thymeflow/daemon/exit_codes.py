"""Exit codes of the daemon and of the supervisor, as `docs/fleet.md` lists them."""

from __future__ import annotations

BAD_CONFIGURATION = 2
CANNOT_LISTEN = 3
NAME_TAKEN = 4
NO_HANDOVER = 5
