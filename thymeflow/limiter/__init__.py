"""One limiter process: assembly of its parts, lifecycle, operators' commands and reload."""
