"""One limiter process: assembly, lifecycle, operators' commands and reload."""
