"""Basic components that no protocol defines: the clock, deadlines, slot tables, transition tables and log lines."""
