"""thymeflow: a limiter that holds customers to their quotas over many instances."""
