"""The same verdict each time: the same generated examples in each run, however slow the machine."""

from hypothesis import settings

settings.register_profile("same", derandomize=True, deadline=None)
settings.load_profile("same")
