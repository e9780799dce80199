"""Benchmarks and proofs: programs that measure a fleet or the run line from outside."""
