"""Log lines for on-call staff; most kinds are limited in rate, and the omitted lines are counted.

A faulty peer can cause thousands of equal lines per second, and writing them must not cost more than the traffic.
The page `docs/on-call.md` lists every kind.

The sink writes the lines: to standard error as plain text, unless another sink is set.
"""

from __future__ import annotations

import logging
from collections.abc import Callable

from thymeflow.runtime import clock
from thymeflow.runtime.log_kinds import LogKind

MIN_INTERVAL_SECONDS = 1.0  # between two lines of one kind that is limited in rate
MAX_TEXT_LENGTH = 300  # characters of a line's text

Sink = Callable[[str, str, int, dict[str, object]], None]  # kind, text, number of omitted lines before it, typed fields

_log = logging.getLogger("thymeflow")
_written_at: dict[str, float] = {}  # time of the last line, by kind
_skipped: dict[str, int] = {}  # number of omitted lines since the last one, by kind


def write_plain(kind: str, text: str, skipped: int, _: dict[str, object]) -> None:
    """Write a line as plain text with the standard library's logging."""
    suffix = f" ({skipped} more of this kind before)" if skipped else ""
    _log.info("%s: %s%s", kind, text, suffix)


_sink: Sink = write_plain


def set_sink(sink: Sink) -> None:
    """Pass all lines to another sink from now on."""
    global _sink
    _sink = sink


def emit_rate_limited(kind: LogKind, text: str, **fields: object) -> None:
    """Write a line, or count it as omitted if its kind was written less than `MIN_INTERVAL_SECONDS` ago."""
    now = clock.now()
    if now - _written_at.get(kind, 0.0) < MIN_INTERVAL_SECONDS:
        _skipped[kind] = _skipped.get(kind, 0) + 1
        return
    _written_at[kind] = now
    _sink(kind, " ".join(text.split())[:MAX_TEXT_LENGTH], _skipped.pop(kind, 0), fields)


def emit(kind: LogKind, text: str, **fields: object) -> None:
    """Write a line without a limit in rate, for an event that occurs a few times in the life of a process."""
    _sink(kind, text, 0, fields)


def set_up(name: str) -> None:
    """Configure logging: all lines, including Twisted's, go to standard error with the limiter's name."""
    from twisted.python.log import PythonLoggingObserver

    logging.basicConfig(level=logging.INFO, format=f"%(asctime)s {name} %(message)s")
    logging.getLogger("twisted").setLevel(logging.ERROR)
    PythonLoggingObserver().start()  # type: ignore[no-untyped-call]  # Twisted has no type annotation here.
