"""thymeflow: a limiter that enforces the quotas of customers over many instances."""
