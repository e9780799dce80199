"""The laboratory: what the program is tried against. Nothing of it is imported by a limiter."""
