"""Formats of the platform: its configuration, its settings and its endpoint lists."""
