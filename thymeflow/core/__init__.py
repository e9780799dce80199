"""Tracks pending requests, passes events to the gateway and executes its actions; it depends on no protocol."""
