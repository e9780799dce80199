"""Customers' quotas: token buckets, counter encoding and ledger, reservations."""
