"""Fleet-wide outlier detection: the reports of all members decide, and one member at a time probes for the fleet."""
