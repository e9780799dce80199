"""Division of the fleet's limits among its limiters: base amounts and leases, updated as members join or end."""
