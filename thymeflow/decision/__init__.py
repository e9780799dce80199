"""The decisions of a gateway, after HIP-185: admission, balancing and retries, without I/O and without a clock."""
