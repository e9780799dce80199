"""What both sides of a handover require of the limiter process that they belong to."""

from __future__ import annotations

import socket
from typing import Protocol

from thymeflow.handover.control_socket import Message
from thymeflow.handover.errors import RejectedHandoverError as RejectedHandoverError
from thymeflow.limiter.assembly import Limiter
from thymeflow.snapshot.store import SnapshotStore


class HandoverParticipant(Protocol):
    """A limiter process that can take over from another and be taken over: the daemon, or the platform's run."""

    incarnation: str
    limiter: Limiter

    @property
    def snapshots(self) -> SnapshotStore:
        """The store that takes and restores the limiter's snapshots."""

    @property
    def step_timeout(self) -> float:
        """The time limit of one step of a handover, in seconds."""

    @property
    def rollback_window(self) -> float:
        """The seconds for which the old process can still take over again once the new one accepts."""

    @property
    def requires_same_site(self) -> bool:
        """Whether plans and index have to be equal; otherwise the part of the state that applies is restored."""

    def descriptors(self) -> list[int]:
        """Return the descriptors that the sender passes, the listening socket first."""

    def adopt_descriptors(self, descriptors: list[int]) -> socket.socket:
        """Take ownership of the passed descriptors and return the listening socket among them.

        :raises RejectedHandoverError: if they cannot be used.
        """

    def accept(self, listening: socket.socket) -> str:
        """Start to accept connections; return the fault as text, empty if there is none."""

    def hand_over_allocation(self) -> Message | None:
        """Give up the allocation of fleet limits and return it as a message; None if there is none."""

    def inherit_allocation(self, message: object) -> None:
        """Take over the allocation of the previous process."""

    def on_taken_back(self, used: bool) -> None:
        """Handle a rollback of the state; `used` if the other process was permitted to use it and may still run."""

    def on_resumed(self) -> None:
        """Handle a completed rollback: this process accepts again."""

    def abandon(self) -> None:
        """Handle a failed handover in a receiver that has not accepted any connection."""

    def retreat(self) -> None:
        """Handle the loss of the sender in a receiver that accepts already."""


def count_open_connections(limiter: Limiter) -> int:
    """Return how many descriptors a limiter uses for connections of clients and to backends."""
    return len(limiter.frontend.clients) + limiter.backends.open_connections
