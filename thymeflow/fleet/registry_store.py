"""The registry file `fleet.json`, which is read when a supervisor starts and written when its content has changed."""

from __future__ import annotations

from pathlib import Path

from thymeflow.fleet.errors import RegistryError
from thymeflow.fleet.registry import FleetRegistry, read_registry, write_registry
from thymeflow.runtime import log
from thymeflow.runtime.log_kinds import LogKind


class RegistryStore:
    """Stores the registry of one fleet in a file. Failures are logged; the supervisor continues without the file."""

    def __init__(self, path: Path) -> None:
        self._path = path
        self._last_content = ""

    def read_previous(self) -> FleetRegistry | None:
        """Return the previous supervisor's registry, None if the file is missing or unusable."""
        try:
            return read_registry(self._path)
        except RegistryError as error:
            log.emit(
                LogKind.REGISTRY, f"the registry of the previous supervisor is ignored; the settings apply: {error}"
            )
            return None

    def write_if_changed(self, registry: FleetRegistry) -> None:
        """Replace the file, unless the registry is the same as in the previous call."""
        content = repr(registry)
        if content == self._last_content:
            return
        self._last_content = content
        try:
            write_registry(self._path, registry)
        except OSError as error:
            log.emit_rate_limited(
                LogKind.REGISTRY,
                f"the registry was not written; the next supervisor may start from older values: {error}",
            )
