"""The files of a fleet: each member's configuration, and the registry that the next supervisor reads.

A member's configuration is the platform's JSON, in which the supervisor fills in the member's name, address and number
and the fleet size.
"""

from __future__ import annotations

import copy
import json
import secrets
from dataclasses import dataclass
from pathlib import Path

import msgspec

from thymeflow.fleet.errors import RegistryError
from thymeflow.handover.control_socket import Message
from thymeflow.platform.configuration import ConfigurationError, parse_configuration
from thymeflow.platform.endpoints import Address, address
from thymeflow.snapshot import atomic_file

MAX_TEMPLATE_BYTES = 4 << 20
MAX_PORT = 65535

ConfigurationJson = Message  # The JSON object of the platform, or of a member as built from it.


class FleetRegistry(msgspec.Struct, forbid_unknown_fields=True):
    """The state that the next supervisor continues from; the field names are the keys of the file `fleet.json`."""

    count: int  # Number of wanted members.
    ports: dict[str, int]  # Key: member's number. Includes ports that the system chose.
    working: str = ""  # Description of the operation in progress, empty if there is none.


@dataclass(frozen=True, slots=True)
class FleetNames:
    """The names of a fleet's members and the paths of its files."""

    folder: Path
    prefix: str

    def name(self, number: int) -> str:
        """Return a member's name."""
        return f"{self.prefix}{number}"

    def path(self, number: int, suffix: str) -> Path:
        """Return the path of the member's file with this suffix."""
        return self.folder / f"{self.name(number)}.{suffix}"

    def supervisor_path(self, suffix: str) -> Path:
        """Return the path of the supervisor's file with this suffix."""
        return self.folder / f"fleet.{suffix}"

    def find_control_sockets(self) -> list[int]:
        """Return the sorted numbers of the members whose control socket exists, whether or not they run."""
        numbers = []
        for path in self.folder.glob(f"{self.prefix}*.sock"):
            digits = path.name[len(self.prefix) : -len(".sock")]
            if digits.isdigit():
                numbers.append(int(digits))
        return sorted(numbers)


def read_template(path: Path) -> ConfigurationJson:
    """Read the platform's JSON, from which all members' configurations are built.

    :raises ConfigurationError: the file cannot be read, or members could not use its content.
    """
    try:
        if path.stat().st_size > MAX_TEMPLATE_BYTES:
            text = f"{path}: larger than {MAX_TEMPLATE_BYTES} bytes"
            raise ConfigurationError(text)
        template = json.loads(path.read_text())
    except (OSError, ValueError) as error:
        text = f"{path}: {error}"
        raise ConfigurationError(text) from None
    if not isinstance(template, dict) or not isinstance(template.get("settings"), dict):
        text = f"{path}: not a JSON object with an object under the key 'settings'"
        raise ConfigurationError(text)
    # The template is validated as the configuration of a member with sample values.
    parse_configuration(build_member_configuration(template, "n0", "127.0.0.1:0", 0, 1), str(path), {})
    return template


def build_member_configuration(
    template: ConfigurationJson,
    name: str,
    listen_address: str,
    number: int,
    fleet_size: int,
    allocation: Message | None = None,
) -> ConfigurationJson:
    """Return a member's configuration; `allocation` is its initial allocation of the fleet's limits."""
    configuration = copy.deepcopy(template)
    configuration.update(name=name, listen=listen_address, seed=secrets.token_hex(8))
    if allocation is not None:
        configuration["part"] = allocation
    configuration["settings"].update(index=number, balancers=max(fleet_size, number + 1))
    return configuration


def write_member_configuration(
    names: FleetNames,
    template: ConfigurationJson,
    listen_address: str,
    number: int,
    fleet_size: int,
    allocation: Message | None = None,
) -> None:
    """Write a member's configuration file atomically."""
    configuration = build_member_configuration(
        template, names.name(number), listen_address, number, fleet_size, allocation
    )
    content = json.dumps(configuration, indent=1).encode()
    atomic_file.write(names.path(number, "json"), content, atomic_file.Durability.PROCESS)


def read_registry(path: Path) -> FleetRegistry | None:
    """Read the registry of an earlier supervisor; return None if there is no file.

    :raises RegistryError: the file cannot be read or is malformed.
    """
    try:
        return msgspec.json.decode(path.read_bytes(), type=FleetRegistry)
    except FileNotFoundError:
        return None
    except (OSError, msgspec.DecodeError) as error:
        text = f"{path}: {error}"
        raise RegistryError(text) from None


def write_registry(path: Path, registry: FleetRegistry) -> None:
    """Write the registry file atomically."""
    atomic_file.write(path, msgspec.json.encode(registry), atomic_file.Durability.PROCESS)


def compute_listen_address(base: str, number: int, known_ports: dict[str, int]) -> Address:
    """Return the address on which a member listens.

    The port is the base port plus the member's number. If the base port is 0, it is the port that the system chose
    before, or 0 if the system has yet to choose one.

    :raises RegistryError: the port would be out of range.
    """
    base_address = address(base, 0)
    port = base_address.port + number if base_address.port else known_ports.get(str(number), 0)
    if port > MAX_PORT:
        text = f"member {number} would listen on port {port}, which is above {MAX_PORT}"
        raise RegistryError(text)
    return Address(base_address.host, port)
