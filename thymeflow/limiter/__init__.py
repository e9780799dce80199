"""One limiter process: its assembly, lifecycle, operators' commands and reload of the configuration."""
