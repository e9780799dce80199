"""Overload handled by the fleet as one: what one limiter has seen counts for all, and one tries for all."""
