"""The interface that both sides of a handover require of their limiter process."""

from __future__ import annotations

import socket
from typing import Protocol

from thymeflow.handover.control_socket import Message
from thymeflow.handover.errors import RejectedHandoverError as RejectedHandoverError
from thymeflow.limiter.assembly import Limiter
from thymeflow.snapshot.store import SnapshotStore


class HandoverParticipant(Protocol):
    """A limiter process that can take over from another process and hand over to one.

    The daemon and the platform's run implement this interface.
    """

    @property
    def incarnation(self) -> str:
        """The random identifier of this process."""

    @property
    def limiter(self) -> Limiter:
        """The limiter of this process."""

    @property
    def snapshots(self) -> SnapshotStore:
        """The store that takes and restores the limiter's snapshots."""

    @property
    def step_timeout(self) -> float:
        """The time limit of one handover step, in seconds."""

    @property
    def rollback_window(self) -> float:
        """The time after the delegation within which the sender can roll back, in seconds."""

    @property
    def requires_same_site(self) -> bool:
        """Whether both processes need the same plans and index.

        Otherwise the receiver restores only the state that applies to its own plans.
        """

    def get_descriptors(self) -> list[int]:
        """Return the descriptors that this process passes as the sender, the listening socket first."""

    def adopt_descriptors(self, descriptors: list[int]) -> socket.socket:
        """Take ownership of the passed descriptors and return the listening socket among them.

        :raises RejectedHandoverError: if they cannot be used.
        """

    def start_accepting(self, listening_socket: socket.socket) -> str:
        """Start to accept connections; return the cause of a failure, or an empty string."""

    def hand_over_allocation(self) -> Message | None:
        """Return the allocation of fleet limits as a message and stop using it; None if there is none."""

    def inherit_allocation(self, message: object) -> None:
        """Use the allocation in a message of the predecessor, which no longer uses it."""

    def on_rolled_back(self, was_used: bool) -> None:
        """Handle a rollback; `was_used`: the successor was permitted to use the allocation and may still run."""

    def on_resumed(self) -> None:
        """Handle the end of a rollback, after which this process accepts connections again."""

    def abandon(self) -> None:
        """Handle a failed handover in a receiver that has not accepted connections yet."""

    def retreat(self) -> None:
        """Handle a failed handover in a receiver that accepts connections already."""


def count_open_connections(limiter: Limiter) -> int:
    """Return the number of a limiter's open connections with clients and backends, one descriptor each."""
    return len(limiter.frontend.clients) + limiter.backends.open_connections
