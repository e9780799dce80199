"""Structured log lines, written with structlog.

The fields of the instance are bound to the logger once; each line adds its kind and typed fields. Every line has the
fields `instance`, `life`, `pid` and `kind`, including lines from Twisted and from the standard library. The names of
these fields are part of the log format. `life` is the incarnation, which is new at each start of an instance.
`docs/on-call.md` shows the text form.
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
LEADING_FIELDS = ("at", "level", "instance", "life", "pid", "kind", "text")  # First fields of a line, in this order
JSON_SCALARS = (str, int, float, bool, type(None))
# Maximum length of one value in characters. Only a trace may be longer, up to the maximum length of a line.
MAX_VALUE_LENGTH = 1000
TRACE_FIELD = "trace"

Fields = dict[str, object]


def add_timestamp(_: WrappedLogger, __: str, event: EventDict) -> EventDict:
    """Add the current time in UTC, with milliseconds."""
    now = clock.now()
    seconds = time.strftime("%Y-%m-%dT%H:%M:%S", time.gmtime(now))
    event["at"] = f"{seconds}.{int(now * 1000) % 1000:03d}Z"
    return event


def limit_values(_: WrappedLogger, __: str, event: EventDict) -> EventDict:
    """Convert values that JSON cannot represent into text, and cut text to the maximum length."""
    for key, value in list(event.items()):
        scalar = value if isinstance(value, JSON_SCALARS) else str(value)
        if isinstance(scalar, str) and len(scalar) > MAX_VALUE_LENGTH and key != TRACE_FIELD:
            scalar = scalar[:MAX_VALUE_LENGTH]
        event[key] = scalar
    return event


def order_fields(_: WrappedLogger, __: str, event: EventDict) -> EventDict:
    """Put the leading fields first and sort all other fields by name, so that lines are easy to read."""
    leading = {key: event.pop(key) for key in LEADING_FIELDS if key in event}
    return {**leading, **dict(sorted(event.items()))}


def render_text(_: WrappedLogger, __: str, event: EventDict) -> str:
    """Return the text form of a line, as in `docs/on-call.md`.

    The form has the time, the instance, the kind, the text and the number of lines that were suppressed before it.
    """
    skipped = event.get("skipped", 0)
    suppressed = f" ({skipped} more of this kind before)" if skipped else ""
    trace = f" | {event[TRACE_FIELD]}" if TRACE_FIELD in event else ""
    kind = f"{event['kind']}: " if event.get("kind") else ""
    writer = f"{event['at']} {event['instance']} {event['life']} {event['pid']}"
    return f"{writer} {kind}{event.get('text', '')}{suppressed}{trace}"


class _LibraryHandler(logging.Handler):
    """A handler that passes log records of the standard library, including Twisted's errors, to the structured log."""

    def __init__(self, structured_log: StructuredLog) -> None:
        super().__init__()
        self._structured_log = structured_log

    def emit(self, record: logging.LogRecord) -> None:
        """Write one record as a log line, with the traceback of its exception if it has one."""
        fields: Fields = {"logger": record.name}
        if record.exc_info and record.exc_info[1] is not None:
            fields[TRACE_FIELD] = " | ".join(logging.Formatter().formatException(record.exc_info).splitlines())
        kind = "fault" if record.levelno >= logging.ERROR else "library"
        self._structured_log.write(kind, record.getMessage(), 0, fields, record.levelno)


class StructuredLog:
    """The log of this process, which writes all lines in one form to one file."""

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
        """Append a rendered line; `info` of the structlog logger calls the method of the same name here."""
        self.file.write(line)

    def write(self, kind: str, text: str, skipped: int, fields: Fields, level: int = logging.INFO) -> None:
        """Write one line if its level is at least the log level.

        A field with the name of a leading field gets the prefix `field_`. `skipped` is the number of lines of this kind
        that were suppressed before this line.
        """
        if level < self.level:
            return
        extra = {f"field_{key}" if key in LEADING_FIELDS else key: value for key, value in fields.items()}
        if skipped:
            extra["skipped"] = skipped
        # structlog names the text `event`. This log names it `text`, because `event` has another meaning here.
        self._logger.info(None, level=logging.getLevelName(level).lower(), kind=kind, text=text, **extra)

    def set_level(self, name: str) -> None:
        """Set the log level: only lines of this level and above are written afterwards."""
        self.level = LEVELS[name]

    def install(self) -> None:
        """Send all log lines of this process to this log, including those of Twisted and of the standard library."""
        from twisted.python.log import PythonLoggingObserver

        root = logging.getLogger()
        root.handlers[:] = [_LibraryHandler(self)]
        root.setLevel(logging.INFO)
        logging.getLogger("twisted").setLevel(logging.ERROR)
        PythonLoggingObserver().start()  # type: ignore[no-untyped-call]  # Twisted declares no type for it
        log.set_sink(self.write)
