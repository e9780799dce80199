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

    @property
    def incarnation(self) -> str:
        """The random identifier of this process."""

    @property
    def limiter(self) -> Limiter:
        """The limiter that is handed over, or that takes over."""

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
        """Whether plans and index have to be equal; otherwise only the state that still applies is restored."""

    def get_descriptors(self) -> list[int]:
        """Return the descriptors that the sender passes, the listening socket first."""

    def adopt_descriptors(self, descriptors: list[int]) -> socket.socket:
        """Take ownership of the passed descriptors and return the listening socket among them.

        :raises RejectedHandoverError: if they cannot be used.
        """

    def start_accepting(self, listening_socket: socket.socket) -> str:
        """Start to accept connections; return why it cannot, or an empty string."""

    def hand_over_allocation(self) -> Message | None:
        """Return the allocation of fleet limits as a message and stop using it; None if there is none."""

    def inherit_allocation(self, message: object) -> None:
        """Use the allocation of the predecessor."""

    def on_rolled_back(self, was_used: bool) -> None:
        """Handle a rollback; `was_used` if the successor was permitted to use the allocation and may still run."""

    def on_resumed(self) -> None:
        """Handle the end of a rollback: this process accepts again."""

    def abandon(self) -> None:
        """Handle a failed handover in a receiver that has not accepted any connection."""

    def retreat(self) -> None:
        """Handle the loss of the sender in a receiver that accepts already."""


def count_open_connections(limiter: Limiter) -> int:
    """Return how many descriptors a limiter uses for connections of clients and to backends."""
    return len(limiter.frontend.clients) + limiter.backends.open_connections
