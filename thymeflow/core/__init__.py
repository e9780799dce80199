"""Pending requests: events to the decisions, actions carried out; no protocol is known here."""
