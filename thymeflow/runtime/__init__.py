"""Clock, deadlines, slot tables and log lines."""
