"""The endpoint list, as service discovery reports it."""
