"""Display terms for values in the JSON of control sockets.

The spelling of the JSON values is part of the format, so tables and texts show these terms for them instead. A value
that is not listed is displayed unchanged.
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


def get_display_term(value: str, terms: dict[str, str]) -> str:
    """Return the term to display for a value; a value without a term is returned unchanged."""
    return terms.get(value, value)
