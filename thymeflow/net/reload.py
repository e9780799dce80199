"""SIGHUP: the configuration read anew while the program runs, and what of it can be moved.

Discovery and the counter move to other addresses with nothing lost: the list and its version stay, and
calls that are out end where they went. All else is what transactions in hand were taken under, so it
waits for the next start, but the size of the set: limiters join and leave while others serve.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import replace

from thymeflow.net import config, log
from thymeflow.net.counter import Counter
from thymeflow.net.discovery import Discovery


class Reload:
    """What was read last, and who is told of what has changed."""

    def __init__(self, given: config.Config, discovery: Discovery, counter: Counter | None,
                 resized: Callable[[int], None], load: Callable[[], config.Config]) -> None:
        self._given, self._discovery, self._counter = given, discovery, counter
        self._resized, self._load = resized, load
        self.last = ""   # what the last one came to, for whoever asks

    def now(self) -> bool:
        """Read the file again; one that cannot be used leaves everything as it is. Whether it could."""
        try:
            given = self._load()
        except config.ConfigError as fault:
            self.last = f"the old settings stay: {fault}"
            log.note("reload", self.last)
            return False
        before, self._given = self._given, given
        self.last = f"discovery at {given.discovery}, counter at {given.counter or 'none'}"
        log.note("reload", self.last)
        if given.discovery != before.discovery:
            self._discovery.move(given.discovery)
        if self._counter is not None and given.counter is not None and given.counter != before.counter:
            self._counter.move(given.counter)
        size = given.settings.gateways
        if size != before.settings.gateways and replace(before.settings, gateways=size) == given.settings:
            log.note("reload", f"the set is of {size} limiters", gateways=size)
            self._resized(size)
            before = replace(before, settings=given.settings)
        fixed = ("name", "listen", "management", "sockets", "memory", "settings")
        changed = [name for name in fixed if getattr(given, name) != getattr(before, name)]
        if changed:
            log.note("reload", f"{', '.join(changed)} differ and hold from the next start")
        return True
