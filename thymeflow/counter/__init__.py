"""The client of the shared counter."""
