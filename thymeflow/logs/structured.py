"""Structured lines by structlog: who writes is bound once, kind and typed fields come with each line.

Every line carries `instance`, `life` (new at each start), `pid` and `kind`, also those that Twisted or the
standard library write. The text form is the one that `docs/on-call.md` shows.
"""

from __future__ import annotations

import logging
import os
import time
from collections.abc import MutableMapping
from pathlib import Path
from typing import Any

import structlog

from thymeflow.logs.shared_file import SharedFile
from thymeflow.runtime import clock, log
from thymeflow.settings.sections import Log

LEVELS = {"debug": logging.DEBUG, "info": logging.INFO, "warning": logging.WARNING, "error": logging.ERROR}
HEAD = ("at", "level", "instance", "life", "pid", "kind", "text")  # the order of a line's first fields
PLAIN = (str, int, float, bool, type(None))
MOST_FIELD = 1000  # characters of one value; a trace is longer, and has a bound by the line's

Event = MutableMapping[str, Any]


def stamp(_: Any, __: str, event: Event) -> Event:
    """The time in UTC, to the millisecond."""
    now = clock.now()
    event["at"] = time.strftime("%Y-%m-%dT%H:%M:%S", time.gmtime(now)) + f".{int(now * 1000) % 1000:03d}Z"
    return event


def typed(_: Any, __: str, event: Event) -> Event:
    """Values that JSON has no form for become text; none is longer than its bound."""
    for key, value in list(event.items()):
        if not isinstance(value, PLAIN):
            event[key] = value = str(value)
        if isinstance(value, str) and len(value) > MOST_FIELD and key != "trace":
            event[key] = value[:MOST_FIELD]
    return event


def ordered(_: Any, __: str, event: Event) -> Event:
    """The head's fields first, the rest by name: lines are read by people too."""
    head = {key: event.pop(key) for key in HEAD if key in event}
    return {**head, **dict(sorted(event.items()))}


def as_text(_: Any, __: str, event: Event) -> str:
    """The form of `docs/on-call.md`: time, instance, kind, text, what was left out."""
    skipped = event.get("skipped", 0)
    more = f" ({skipped} more of this kind before)" if skipped else ""
    trace = f" | {event['trace']}" if "trace" in event else ""
    kind = f"{event['kind']}: " if event.get("kind") else ""
    who = f"{event['at']} {event['instance']} {event['life']} {event['pid']}"
    return f"{who} {kind}{event.get('text', '')}{more}{trace}"


class _FromLibrary(logging.Handler):
    """Lines of the standard library's logging, Twisted's errors among them, take the same way."""

    def __init__(self, book: StructuredLog) -> None:
        super().__init__()
        self._book = book

    def emit(self, record: logging.LogRecord) -> None:
        fields: dict[str, Any] = {"logger": record.name}
        if record.exc_info and record.exc_info[1] is not None:
            fields["trace"] = " | ".join(logging.Formatter().formatException(record.exc_info).splitlines())
        self._book.write(
            "fault" if record.levelno >= logging.ERROR else "library", record.getMessage(), 0, fields, record.levelno
        )


class StructuredLog:
    """This process's lines, in one form, to one place."""

    def __init__(self, settings: Log, instance: str, life: str) -> None:
        self.file = SharedFile(Path(settings.file) if settings.file else None, settings.most_line, clock.now)
        self.level = LEVELS[settings.level]
        render: Any = as_text if settings.form == "text" else structlog.processors.JSONRenderer()
        self._logger = structlog.wrap_logger(
            self,
            processors=[stamp, typed, ordered, render],
            wrapper_class=structlog.BoundLogger,
            cache_logger_on_first_use=True,
        ).bind(instance=instance, life=life, pid=os.getpid())

    def msg(self, line: str) -> None:
        """What structlog calls with the finished line."""
        self.file.write(line)

    info = msg

    def write(self, kind: str, text: str, skipped: int, fields: dict[str, Any], level: int = logging.INFO) -> None:
        """One line; `fields` may not take the head's names."""
        if level < self.level:
            return
        more = {f"field_{k}" if k in HEAD else k: v for k, v in fields.items()}
        if skipped:
            more["skipped"] = skipped
        # structlog's own word for the text is `event`; ours is `text`, as `event` means another thing here.
        self._logger.info(None, level=logging.getLevelName(level).lower(), kind=kind, text=text, **more)

    def set_level(self, name: str) -> None:
        """Write from this level on."""
        self.level = LEVELS[name]

    def install(self) -> None:
        """Send every line of this process here, Twisted's errors and the standard library's included."""
        from twisted.python.log import PythonLoggingObserver

        root = logging.getLogger()
        root.handlers[:] = [_FromLibrary(self)]
        root.setLevel(logging.INFO)
        logging.getLogger("twisted").setLevel(logging.ERROR)
        PythonLoggingObserver().start()  # type: ignore[no-untyped-call]
        log.to(self.write)
