"""The base class of all exceptions that thymeflow defines."""

from __future__ import annotations


class ThymeflowError(Exception):
    """Base class of thymeflow's exceptions; each package derives one base class of its own from it."""
