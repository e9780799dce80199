"""Load shedding by the fleet as one: a common admission threshold, and a common order of requests."""
