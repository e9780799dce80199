"""Structured log lines, in files that many processes append to."""
