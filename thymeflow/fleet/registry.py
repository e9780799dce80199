"""What a fleet is made of on the disk: each member's configuration, and the roster that a successor reads.

Nothing here decides; the configuration of a member is the platform's JSON with name, address, number and size of
the set in their places.
"""

from __future__ import annotations

import copy
import json
import secrets
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import msgspec

from thymeflow.platform.configuration import ConfigurationError, from_source
from thymeflow.platform.endpoints import Address, address
from thymeflow.snapshot import atomic_file

MOST_BYTES = 4 << 20


class Roster(msgspec.Struct, forbid_unknown_fields=True):
    """What a successor of the supervisor needs to know."""

    count: int
    ports: dict[str, int]  # by member's number; those that the system chose included
    working: str = ""  # the order that was under way


@dataclass(frozen=True, slots=True)
class Names:
    """Where a fleet's things lie and how they are called."""

    folder: Path
    prefix: str

    def name(self, number: int) -> str:
        """A member's name."""
        return f"{self.prefix}{number}"

    def path(self, number: int, kind: str) -> Path:
        """A member's file."""
        return self.folder / f"{self.name(number)}.{kind}"

    def own(self, kind: str) -> Path:
        """The supervisor's file."""
        return self.folder / f"fleet.{kind}"

    def running(self) -> list[int]:
        """Numbers of members that have left a control socket's name, living or not."""
        found = []
        for path in self.folder.glob(f"{self.prefix}*.sock"):
            digits = path.name[len(self.prefix) : -len(".sock")]
            if digits.isdigit():
                found.append(int(digits))
        return sorted(found)


def template(path: Path) -> dict[str, Any]:
    """The platform's JSON for all members; ConfigError where no member could use it."""
    try:
        if path.stat().st_size > MOST_BYTES:
            raise ConfigurationError(f"{path}: holds over {MOST_BYTES} bytes")
        source = json.loads(path.read_text())
    except (OSError, ValueError) as fault:
        raise ConfigurationError(f"{path}: {fault}") from None
    if not isinstance(source, dict) or not isinstance(source.get("settings"), dict):
        raise ConfigurationError(f"{path}: no JSON object with settings")
    from_source(member(source, "n0", "127.0.0.1:0", 0, 1), str(path), {})
    return source


def member(
    source: dict[str, Any], name: str, listen: str, number: int, size: int, part: dict[str, Any] | None = None
) -> dict[str, Any]:
    """One member's configuration; `part`: of what the fleet may do."""
    made = copy.deepcopy(source)
    made.update(name=name, listen=listen, seed=secrets.token_hex(8))
    if part is not None:
        made["part"] = part
    made["settings"].update(index=number, balancers=max(size, number + 1))
    return made


def write_member(
    names: Names, source: dict[str, Any], listen: str, number: int, size: int, part: dict[str, Any] | None = None
) -> None:
    """Write one member's configuration, whole or not at all."""
    made = member(source, names.name(number), listen, number, size, part)
    atomic_file.write(names.path(number, "json"), json.dumps(made, indent=1).encode(), atomic_file.Durability.PROCESS)


def read_roster(path: Path) -> Roster | None:
    """What an earlier supervisor left; None where there is nothing, ValueError where it can't be read."""
    try:
        return msgspec.json.decode(path.read_bytes(), type=Roster)
    except FileNotFoundError:
        return None
    except (OSError, msgspec.DecodeError) as fault:
        raise ValueError(f"{path}: {fault}") from None


def write_roster(path: Path, roster: Roster) -> None:
    """Write it, whole or not at all."""
    atomic_file.write(path, msgspec.json.encode(roster), atomic_file.Durability.PROCESS)


def listen_of(base: str, number: int, known: dict[str, int]) -> Address:
    """Where a member listens: base port plus its number, or the port that the system chose for it before."""
    first = address(base, 0)
    port = first.port + number if first.port else known.get(str(number), 0)
    if port > 65535:
        raise ValueError(f"member {number} would listen on port {port}")
    return Address(first.host, port)
