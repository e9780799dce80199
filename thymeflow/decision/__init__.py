"""Decisions of a gateway according to HIP-185: admission, balancing and retries. No I/O, no clock."""
