"""Log lines for on-call staff: each kind of line is limited in rate, and what was left out is counted.

A faulty peer can cause thousands of the same line in a second; the log must not cost more than the traffic. The page
`docs/on-call.md` lists every kind.

The sink decides where lines go: to standard error as plain text, unless another sink is set.
"""

from __future__ import annotations

import logging
from collections.abc import Callable

from thymeflow.runtime import clock
from thymeflow.runtime.log_kinds import LogKind

MIN_INTERVAL = 1.0  # s: between two lines of one kind
MAX_TEXT_LENGTH = 300  # characters of a line's text

Sink = Callable[[str, str, int, dict[str, object]], None]  # kind, text, lines left out before it, typed fields

_log = logging.getLogger("thymeflow")
_written_at: dict[str, float] = {}  # when the last line was written, by kind
_skipped: dict[str, int] = {}  # lines left out since the last one, by kind


def write_plain(kind: str, text: str, skipped: int, _: dict[str, object]) -> None:
    """Write a line as plain text, with the standard library's logging."""
    suffix = f" ({skipped} more of this kind before)" if skipped else ""
    _log.info("%s: %s%s", kind, text, suffix)


_sink: Sink = write_plain


def set_sink(sink: Sink) -> None:
    """Send all lines from now on to another sink."""
    global _sink
    _sink = sink


def emit_rate_limited(kind: LogKind, text: str, **fields: object) -> None:
    """Write `kind: text`, or count it if that kind was written less than `MIN_INTERVAL` ago."""
    now = clock.now()
    if now - _written_at.get(kind, 0.0) < MIN_INTERVAL:
        _skipped[kind] = _skipped.get(kind, 0) + 1
        return
    _written_at[kind] = now
    _sink(kind, " ".join(text.split())[:MAX_TEXT_LENGTH], _skipped.pop(kind, 0), fields)


def emit(kind: LogKind, text: str, **fields: object) -> None:
    """Write `kind: text` without a limit in rate: for what happens a few times in a process."""
    _sink(kind, text, 0, fields)


def set_up(name: str) -> None:
    """Send all lines, Twisted's own included, to standard error under the limiter's name."""
    from twisted.python.log import PythonLoggingObserver

    logging.basicConfig(level=logging.INFO, format=f"%(asctime)s {name} %(message)s")
    logging.getLogger("twisted").setLevel(logging.ERROR)
    PythonLoggingObserver().start()  # type: ignore[no-untyped-call]  # Twisted declares no type for it
