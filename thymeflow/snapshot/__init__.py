"""Snapshots of a limiter's state: the file, its schema, and how a later process restores it."""
