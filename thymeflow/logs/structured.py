"""Structured log lines with structlog: the writer is bound once, kind and typed fields come with each line.

Every line has `instance`, `life`, `pid` and `kind`, also those that Twisted or the standard library write. The names of
these fields are a format: `life` is the incarnation, new at each start. `docs/on-call.md` shows the text form.
"""

from __future__ import annotations

import logging
import os
import time
from pathlib import Path

import structlog
from structlog.typing import EventDict, Processor, WrappedLogger

from thymeflow.logs.shared_file import SharedFile
from thymeflow.runtime import clock, log
from thymeflow.settings.sections import Log

LEVELS = {"debug": logging.DEBUG, "info": logging.INFO, "warning": logging.WARNING, "error": logging.ERROR}
HEAD_FIELDS = ("at", "level", "instance", "life", "pid", "kind", "text")  # a line's first fields, in this order
JSON_SCALARS = (str, int, float, bool, type(None))
MAX_VALUE_LENGTH = 1000  # characters of one value; only a trace may be longer, up to the maximum of a line
TRACE_FIELD = "trace"

Fields = dict[str, object]


def add_timestamp(_: WrappedLogger, __: str, event: EventDict) -> EventDict:
    """Add the time in UTC, to the millisecond."""
    now = clock.now()
    seconds = time.strftime("%Y-%m-%dT%H:%M:%S", time.gmtime(now))
    event["at"] = f"{seconds}.{int(now * 1000) % 1000:03d}Z"
    return event


def limit_values(_: WrappedLogger, __: str, event: EventDict) -> EventDict:
    """Convert values that JSON has no form for into text, and cut text to the maximum length."""
    for key, value in list(event.items()):
        scalar = value if isinstance(value, JSON_SCALARS) else str(value)
        if isinstance(scalar, str) and len(scalar) > MAX_VALUE_LENGTH and key != TRACE_FIELD:
            scalar = scalar[:MAX_VALUE_LENGTH]
        event[key] = scalar
    return event


def order_fields(_: WrappedLogger, __: str, event: EventDict) -> EventDict:
    """Put the head's fields first and the rest by name: people read lines too."""
    head = {key: event.pop(key) for key in HEAD_FIELDS if key in event}
    return {**head, **dict(sorted(event.items()))}


def render_text(_: WrappedLogger, __: str, event: EventDict) -> str:
    """Return the form of `docs/on-call.md`: time, writer, kind, text, and how many lines were suppressed before it."""
    skipped = event.get("skipped", 0)
    more = f" ({skipped} more of this kind before)" if skipped else ""
    trace = f" | {event[TRACE_FIELD]}" if TRACE_FIELD in event else ""
    kind = f"{event['kind']}: " if event.get("kind") else ""
    writer = f"{event['at']} {event['instance']} {event['life']} {event['pid']}"
    return f"{writer} {kind}{event.get('text', '')}{more}{trace}"


class _LibraryHandler(logging.Handler):
    """Passes lines of the standard library's logging, Twisted's errors among them, to the structured log."""

    def __init__(self, structured_log: StructuredLog) -> None:
        super().__init__()
        self._structured_log = structured_log

    def emit(self, record: logging.LogRecord) -> None:
        """Write one record, with its trace if it has one."""
        fields: Fields = {"logger": record.name}
        if record.exc_info and record.exc_info[1] is not None:
            fields[TRACE_FIELD] = " | ".join(logging.Formatter().formatException(record.exc_info).splitlines())
        kind = "fault" if record.levelno >= logging.ERROR else "library"
        self._structured_log.write(kind, record.getMessage(), 0, fields, record.levelno)


class StructuredLog:
    """The log of this process: all its lines, in one form, in one file."""

    def __init__(self, settings: Log, instance: str, incarnation: str) -> None:
        path = Path(settings.file) if settings.file else None
        self.file = SharedFile(path, settings.most_line, clock.now)
        self.level = LEVELS[settings.level]
        render: Processor = render_text if settings.form == "text" else structlog.processors.JSONRenderer()
        logger = structlog.wrap_logger(
            self,
            processors=[add_timestamp, limit_values, order_fields, render],
            wrapper_class=structlog.BoundLogger,
            cache_logger_on_first_use=True,
        )
        self._logger = logger.bind(instance=instance, life=incarnation, pid=os.getpid())

    def info(self, line: str) -> None:
        """Append a rendered line; structlog calls this method by the name of its own."""
        self.file.write(line)

    def write(self, kind: str, text: str, skipped: int, fields: Fields, level: int = logging.INFO) -> None:
        """Write one line, if its level is high enough; fields with names of the head get a prefix.

        `skipped`: how many lines of this kind were suppressed before it.
        """
        if level < self.level:
            return
        extra = {f"field_{key}" if key in HEAD_FIELDS else key: value for key, value in fields.items()}
        if skipped:
            extra["skipped"] = skipped
        # structlog's own name for the text is `event`; ours is `text`, as `event` means another thing here.
        self._logger.info(None, level=logging.getLevelName(level).lower(), kind=kind, text=text, **extra)

    def set_level(self, name: str) -> None:
        """Write lines of this level and above from now on."""
        self.level = LEVELS[name]

    def install(self) -> None:
        """Write every line of this process here, Twisted's errors and the standard library's included."""
        from twisted.python.log import PythonLoggingObserver

        root = logging.getLogger()
        root.handlers[:] = [_LibraryHandler(self)]
        root.setLevel(logging.INFO)
        logging.getLogger("twisted").setLevel(logging.ERROR)
        PythonLoggingObserver().start()  # type: ignore[no-untyped-call]  # Twisted declares no type for it
        log.set_sink(self.write)
