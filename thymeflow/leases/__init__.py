"""Fleet-wide limits divided among limiters: base amounts and leases, redistributed as members come and go."""
