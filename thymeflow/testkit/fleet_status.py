"""The status of a fleet, as its supervisor reports it over the control socket."""

from __future__ import annotations

from dataclasses import dataclass

from thymeflow.testkit.types import Address, JsonObject


@dataclass(frozen=True, slots=True)
class MemberStatus:
    """One member; the counts are those of its own last report."""

    name: str
    state: str
    pid: int
    listen: str  # host:port, empty while it has no process that listens
    served_count: int
    rejected_count: int
    open_count: int
    customer_count: int
    ready_backend_count: int

    @classmethod
    def from_message(cls, message: JsonObject) -> MemberStatus:
        """Parse a member of the supervisor's reply."""
        report = message.get("told") or {}
        responses = report.get("answers", {})
        return cls(
            name=message["name"],
            state=message["state"],
            pid=message["pid"] or 0,
            listen=message["listen"] or "",
            served_count=responses.get("served", 0),
            rejected_count=responses.get("unavailable", 0),
            open_count=report.get("open", 0),
            customer_count=report.get("customers", 0),
            ready_backend_count=report.get("servers", {}).get("ready", 0),
        )

    @property
    def address(self) -> Address:
        """Return where it listens."""
        host, _, port = self.listen.rpartition(":")
        return host, int(port)


@dataclass(frozen=True, slots=True)
class FleetStatus:
    """The fleet and its members, in the order of their numbers."""

    ready_count: int
    is_working: bool  # an order is being carried out
    members: tuple[MemberStatus, ...]

    @classmethod
    def from_message(cls, message: JsonObject) -> FleetStatus:
        """Parse the supervisor's reply to `status`."""
        members = tuple(MemberStatus.from_message(member) for member in message.get("members", []))
        return cls(message.get("ready", 0), bool(message.get("working")), members)

    def has_ready(self, count: int) -> bool:
        """Return whether so many members are ready and listen, and nothing is changing."""
        is_complete = self.ready_count == count and not self.is_working
        return is_complete and all(member.listen for member in self.members)
