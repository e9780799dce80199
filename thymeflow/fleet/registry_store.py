"""The file `fleet.json`: read when a supervisor starts, and written whenever its content has changed."""

from __future__ import annotations

from pathlib import Path

from thymeflow.fleet.errors import RegistryError
from thymeflow.fleet.registry import MemberRegistry, read_registry, write_registry
from thymeflow.runtime import log
from thymeflow.runtime.log_kinds import LogKind


class RegistryStore:
    """Keeps the registry of one fleet in its file; failures are logged and change nothing else."""

    def __init__(self, path: Path) -> None:
        self._path = path
        self._last_content = ""

    def read_previous(self) -> MemberRegistry | None:
        """Return the registry of the previous supervisor; None where there is none that can be used."""
        try:
            return read_registry(self._path)
        except RegistryError as error:
            log.emit(LogKind.REGISTRY, f"ignored, the settings apply: {error}")
            return None

    def write_if_changed(self, registry: MemberRegistry) -> None:
        """Replace the file, unless this content was the last to be written."""
        content = repr(registry)
        if content == self._last_content:
            return
        self._last_content = content
        try:
            write_registry(self._path, registry)
        except OSError as error:
            log.emit_rate_limited(LogKind.REGISTRY, f"not written: {error}")
