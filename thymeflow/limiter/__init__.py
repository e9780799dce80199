"""One running limiter: its parts, phases, reload and operators' calls."""
