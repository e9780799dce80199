"""Faults between real processes: proxies on every link, processes that are paused and killed, checks from outside."""
