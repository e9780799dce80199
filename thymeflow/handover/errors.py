"""The exceptions of the handover package."""

from __future__ import annotations

from thymeflow.errors import ThymeflowError


class HandoverError(ThymeflowError):
    """Base class of the handover package's exceptions."""


class ControlError(HandoverError):
    """The control socket cannot be opened; the text gives the cause and the remedy."""


class NoAnswerError(HandoverError):
    """No process listens at the control socket, or no reply arrived before the deadline."""


class InvalidRequestError(HandoverError, ValueError):
    """A value of a control request is invalid; the text names the value and the valid ones."""


class BadDescriptorError(HandoverError):
    """A passed descriptor is not a listening stream socket; the text identifies the descriptor."""


class RejectedHandoverError(HandoverError):
    """The receiver cannot use the sender's descriptors; the text gives the cause."""
