"""SIGHUP: the configuration read anew while the program runs, and taken whole or not at all.

Discovery and the counter move to other addresses with nothing lost: the list and its version stay, and
calls that are out end where they went. Settings hold for what is taken from now on; what is open keeps those
that it was taken under. Addresses to listen on and the limits wait for the next start. A file with another name, or
with none of the plans in force, is another limiter's and changes nothing.
"""

from __future__ import annotations

from collections.abc import Callable

from thymeflow.counter.client import Counter
from thymeflow.decision.settings import GatewaySettings
from thymeflow.discovery.watch import Discovery
from thymeflow.platform import configuration
from thymeflow.runtime import log


def differences(old: GatewaySettings, new: GatewaySettings) -> str:
    """What has changed of the settings, in words for the log."""
    before, after = ({c.name: c for c in s.classes} for s in (old, new))
    parts = [
        (" ".join(after.keys() - before.keys()), "added"),
        (" ".join(before.keys() - after.keys()), "dropped"),
        (" ".join(n for n in before.keys() & after.keys() if before[n] != after[n]), "changed"),
    ]
    told = [f"classes {what}: {names}" for names, what in parts if names]
    for name, was, now in (
        ("attempts", old.limits.max_attempts, new.limits.max_attempts),
        ("limiters", old.limiter_count, new.limiter_count),
    ):
        if was != now:
            told.append(f"{name}: {was} to {now}")
    return "; ".join(told) or "other values than before"


class Reload:
    """What was read last, and who is told of what has changed."""

    def __init__(
        self,
        given: configuration.Configuration,
        discovery: Discovery,
        counter: Counter | None,
        resettled: Callable[[GatewaySettings], None],
        load: Callable[[], configuration.Configuration],
    ) -> None:
        self._given, self._discovery, self._counter = given, discovery, counter
        self._resettled, self._load = resettled, load
        self.last = ""  # what the last one came to, for whoever asks

    def now(self) -> bool:
        """Read the file again; one that cannot be used leaves everything as it is. Whether it could."""
        try:
            given = self._load()
            configuration.check_reload(given, self._given)
        except configuration.ConfigurationError as fault:
            self.last = f"the old settings stay: {fault}"
            log.note("reload", self.last)
            return False
        before, self._given = self._given, given
        self.last = f"discovery at {given.discovery}, counter at {given.counter or 'none'}"
        log.note("reload", self.last)
        if given.discovery != before.discovery:
            self._discovery.set_address(given.discovery)
        if self._counter is not None and given.counter is not None and given.counter != before.counter:
            self._counter.set_address(given.counter)
        if given.settings != before.settings:
            log.note("reload", f"settings taken: {differences(before.settings, given.settings)}")
            self._resettled(given.settings)
        fixed = ("listen", "management", "sockets", "memory")
        changed = [name for name in fixed if getattr(given, name) != getattr(before, name)]
        if changed:
            log.note("reload", f"{', '.join(changed)} differ and hold from the next start")
        return True
