"""Log lines for on-call staff: one kind of line, at most so often, with what was left out counted.

A broken peer can cause thousands of the same line in a second; the log must not cost more than the
traffic. The page `docs/on-call.md` lists every kind.

Where lines go is the sink's matter: standard error in the text form, unless `observe` puts another there.
"""

from __future__ import annotations

import logging
from collections.abc import Callable
from typing import Any

from thymeflow.runtime import clock

PACE = 1.0  # s: least time between two lines of one kind
MOST_TEXT = 300

Sink = Callable[[str, str, int, dict[str, Any]], None]  # kind, text, lines left out before it, typed fields

_log = logging.getLogger("thymeflow")
_last: dict[str, float] = {}
_skipped: dict[str, int] = {}


def plain(kind: str, text: str, skipped: int, _: dict[str, Any]) -> None:
    """The text form, by the standard library."""
    more = f" ({skipped} more of this kind before)" if skipped else ""
    _log.info("%s: %s%s", kind, text, more)


_sink: Sink = plain


def to(sink: Sink) -> None:
    """Send all lines from now on to another sink."""
    global _sink
    _sink = sink


def say(kind: str, text: str, **fields: Any) -> None:
    """Write `kind: text`, or count it where that kind was written a moment ago."""
    now = clock.now()
    if now - _last.get(kind, 0.0) < PACE:
        _skipped[kind] = _skipped.get(kind, 0) + 1
        return
    _last[kind] = now
    _sink(kind, " ".join(text.split())[:MOST_TEXT], _skipped.pop(kind, 0), fields)


def note(kind: str, text: str, **fields: Any) -> None:
    """Write `kind: text` whatever came before: for what happens a few times in a life."""
    _sink(kind, text, 0, fields)


def set_up(name: str) -> None:
    """Send all lines, Twisted's own included, to standard error under the limiter's name."""
    from twisted.python.log import PythonLoggingObserver

    logging.basicConfig(level=logging.INFO, format=f"%(asctime)s {name} %(message)s")
    logging.getLogger("twisted").setLevel(logging.ERROR)
    PythonLoggingObserver().start()  # type: ignore[no-untyped-call]
