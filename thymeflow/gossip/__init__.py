"""Messages in which gateways share demand and levels: codec, publisher and aggregation."""
