"""Snapshots of a limiter's state: their file, their schema, and their restoration by a later process."""
