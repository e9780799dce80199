"""SIGHUP: the configuration read anew while the program runs, and what of it can be moved.

Discovery and the counter move to other addresses with nothing lost: the list and its version stay, and
calls that are out end where they went. All else is what transactions in hand were taken under, so it
waits for the next start.
"""

from __future__ import annotations

from thymeflow.net import config, log
from thymeflow.net.counter import Counter
from thymeflow.net.discovery import Discovery


class Reload:
    """What was read last, and who is told of what has changed."""

    def __init__(self, given: config.Config, discovery: Discovery, counter: Counter | None) -> None:
        self._given, self._discovery, self._counter = given, discovery, counter

    def now(self) -> None:
        """Read the file again; one that cannot be used leaves everything as it is."""
        try:
            given = config.load()
        except config.ConfigError as fault:
            log.note("reload", f"the old settings stay: {fault}")
            return
        before, self._given = self._given, given
        log.note("reload", f"discovery at {given.discovery}, counter at {given.counter or 'none'}")
        if given.discovery != before.discovery:
            self._discovery.move(given.discovery)
        if self._counter is not None and given.counter is not None and given.counter != before.counter:
            self._counter.move(given.counter)
        fixed = ("name", "listen", "sockets", "memory", "settings")
        changed = [name for name in fixed if getattr(given, name) != getattr(before, name)]
        if changed:
            log.note("reload", f"{', '.join(changed)} differ and hold from the next start")
