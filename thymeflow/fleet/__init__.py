"""The supervisor of a fleet: many limiters that one settings file starts, rolls, scales and stops."""
