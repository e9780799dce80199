"""Fleet-wide limits divided among limiters: base amounts and leases, issued anew as members come and go."""
