"""Load shedding with one admission threshold for the fleet."""
