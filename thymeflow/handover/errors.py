"""The exceptions of the handover package."""

from __future__ import annotations

from thymeflow.errors import ThymeflowError


class HandoverError(ThymeflowError):
    """Base class of the exceptions of this package."""


class ControlError(HandoverError):
    """The control socket cannot be opened; the text gives the cause and the remedy."""


class NoAnswerError(HandoverError):
    """No process listens at the control socket, or no reply arrived before the deadline."""


class InvalidRequestError(HandoverError, ValueError):
    """A value of a control request is out of its domain; the text names it and its domain."""


class BadDescriptorError(HandoverError):
    """A descriptor that was passed in is not a listening stream socket; the text identifies it."""


class RejectedHandoverError(HandoverError):
    """The sender's descriptors cannot be used; the text gives the cause."""
