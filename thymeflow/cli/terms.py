"""The terms that tables and texts show for values in the JSON of control sockets, whose spelling is a format.

A value that is not listed is shown as it is.
"""

from __future__ import annotations

RESPONSE_KINDS = {"unavailable": "rejected"}
SNAPSHOT_SOURCES = {"none": "nothing", "file": "the snapshot file", "hand-over": "a handover"}
LEASE_STATES = {"unheard": "not reporting", "held": "acknowledged", "asked": "grant pending"}
EJECTION_STATES = {"condemned": "ejected", "returning": "recovering", "cleared": "recovered"}
RESOURCES = {
    "places": "concurrency",
    "attempts": "retries",
    "calls": "counter calls",
    "trials": "probes",
    "connections": "connections",
}


def shown(value: str, terms: dict[str, str]) -> str:
    """Return the term for a value."""
    return terms.get(value, value)
