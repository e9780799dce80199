"""Customer quotas: token buckets, counter encoding, counter ledger and reservations."""
