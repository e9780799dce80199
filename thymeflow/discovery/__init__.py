"""The watch on the endpoint list."""
