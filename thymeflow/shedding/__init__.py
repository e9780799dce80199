"""Fleet-wide load shedding: all members use the same admission threshold and the same ranking of requests."""
