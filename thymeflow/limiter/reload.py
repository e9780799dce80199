"""Reload of the configuration at SIGHUP: the file is read again, and applied completely or not at all.

If discovery or the counter has another address, nothing is lost: the endpoint list and its version stay, and calls in
flight are completed at the old address. Changed settings apply to new requests; open requests keep the settings that
they were accepted under. Addresses to listen on and the limits change at the next start only. A file with another
name, or with none of the plans in force, belongs to another limiter and is rejected.
"""

from __future__ import annotations

from collections.abc import Callable

from thymeflow.counter.client import CounterClient
from thymeflow.decision.settings import GatewaySettings
from thymeflow.discovery.watch import EndpointWatcher
from thymeflow.platform import configuration
from thymeflow.runtime import log
from thymeflow.runtime.log_kinds import LogKind

FIXED_UNTIL_RESTART = ("listen", "management", "sockets", "memory")


def describe_differences(old: GatewaySettings, new: GatewaySettings) -> str:
    """Return the differences between two settings as text for the log."""
    before = {request_class.name: request_class for request_class in old.classes}
    after = {request_class.name: request_class for request_class in new.classes}
    changed = (name for name in before.keys() & after.keys() if before[name] != after[name])
    class_changes = [
        (" ".join(after.keys() - before.keys()), "added"),
        (" ".join(before.keys() - after.keys()), "dropped"),
        (" ".join(changed), "changed"),
    ]
    differences = [f"classes {change}: {names}" for names, change in class_changes if names]
    for name, old_value, new_value in (
        ("attempts", old.limits.max_attempts, new.limits.max_attempts),
        ("limiters", old.limiter_count, new.limiter_count),
    ):
        if old_value != new_value:
            differences.append(f"{name}: {old_value} to {new_value}")
    return "; ".join(differences) or "other values changed"


class ConfigurationReloader:
    """Holds the configuration that was read last, and applies a reloaded one to the components."""

    def __init__(
        self,
        current: configuration.Configuration,
        discovery: EndpointWatcher,
        counter: CounterClient | None,
        apply_settings: Callable[[GatewaySettings], None],
        load: Callable[[], configuration.Configuration],
    ) -> None:
        self._current = current
        self._discovery = discovery
        self._counter = counter
        self._apply_settings = apply_settings
        self._load = load
        self.last_result = ""  # the result of the last reload, as text

    def reload_configuration(self) -> bool:
        """Read the file again, apply it if it is valid, and return whether it is."""
        try:
            reloaded = self._load()
            configuration.check_reload(reloaded, self._current)
        except configuration.ConfigurationError as error:
            self.last_result = f"the old settings stay: {error}"
            log.emit(LogKind.RELOAD, self.last_result)
            return False
        previous = self._current
        self._current = reloaded
        self.last_result = f"discovery at {reloaded.discovery}, counter at {reloaded.counter or 'none'}"
        log.emit(LogKind.RELOAD, self.last_result)
        if reloaded.discovery != previous.discovery:
            self._discovery.set_address(reloaded.discovery)
        if self._counter is not None and reloaded.counter is not None and reloaded.counter != previous.counter:
            self._counter.set_address(reloaded.counter)
        if reloaded.settings != previous.settings:
            log.emit(LogKind.RELOAD, f"settings taken: {describe_differences(previous.settings, reloaded.settings)}")
            self._apply_settings(reloaded.settings)
        changed = [name for name in FIXED_UNTIL_RESTART if getattr(reloaded, name) != getattr(previous, name)]
        if changed:
            log.emit(LogKind.RELOAD, f"changes of {', '.join(changed)} take effect at the next start")
        return True
