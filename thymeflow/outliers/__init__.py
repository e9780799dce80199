"""Outlier detection by the fleet as one: reports of all members decide, and one member probes for all."""
