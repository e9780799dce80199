"""Gossip, the messages in which gateways share demand and levels: codec, publisher and aggregator."""
