"""Division of the fleet's limits among its limiters: base amounts and leases, divided anew as members join or end."""
