"""Faults between real processes: relays on every link, processes that are stopped and killed, judges outside."""
