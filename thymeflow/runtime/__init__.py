"""Building blocks without a protocol: the clock, the deadlines, slot tables and log lines."""
