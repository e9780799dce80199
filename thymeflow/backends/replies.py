"""Parses a backend's replies into attempt results, and the figures in them into load reports."""

from __future__ import annotations

from math import isfinite

from thymeflow.core.types import AttemptResult
from thymeflow.decision.types import LoadReport, Status
from thymeflow.runtime import log
from thymeflow.runtime.log_kinds import LogKind
from thymeflow.transport import resp

# Larger figures are dropped. As quota usage this is 10,000 times a quota, and as service time 17 minutes.
MAX_FIGURE = 1e6

# The figures that backends send, by their names on the wire, and the field of `LoadReport` that each one fills.
LOAD_REPORT_FIELDS = {
    b"inflight": "inflight",
    b"active": "inflight",
    b"queue": "queued",
    b"waiting": "queued",
    b"util": "utilization",
    b"cpu": "utilization",
    b"latency_ms": "service_time",
    b"avg_ms": "service_time",
    b"qps": "requests_per_second",
    b"rps": "requests_per_second",
    b"eps": "errors_per_second",
    b"err_rps": "errors_per_second",
}


def _parse_figures(text: bytes, figures: dict[bytes, float]) -> None:
    """Add the figures of a `name=value,...` text to `figures`; log and drop figures that are out of bounds."""
    for pair in text.split(b","):
        name, _, value = pair.partition(b"=")
        try:
            number = float(value)
        except ValueError:
            number = -1.0
        # A figure that is not finite would make the running means and sums useless for good.
        if isfinite(number) and 0.0 <= number <= MAX_FIGURE:
            figures[name] = number
        else:
            log.emit_rate_limited(LogKind.BAD_FIGURES, f"figure in a backend's reply ignored: {text[:60]!r}")


def _build_result(status: Status, value: bytes, texts: list[bytes]) -> AttemptResult:
    """Build the result of an attempt from its status, its value and the texts with figures."""
    figures: dict[bytes, float] = {}
    for text in texts:
        _parse_figures(text, figures)
    quota_percent = figures.get(b"used")
    actual_units = figures.get(b"cost")
    load = {
        LOAD_REPORT_FIELDS[name]: figure / 1000.0 if name.endswith(b"_ms") else figure
        for name, figure in figures.items()
        if name in LOAD_REPORT_FIELDS
    }
    return AttemptResult(
        status,
        value,
        None if quota_percent is None else quota_percent / 100.0,
        actual_units or None,
        LoadReport(**load) if load else None,
    )


def parse_attempt_result(reply: resp.Event) -> AttemptResult | None:
    """Return the result in a reply, or None if the reply is malformed and its connection is unusable."""
    if isinstance(reply, list) and len(reply) == 3 and isinstance(reply[0], bytes):
        return _build_result(Status.OK, reply[0], [item for item in reply[1:] if isinstance(item, bytes)])
    if isinstance(reply, resp.ErrorReply):
        tokens = reply.split()
        figures = [token for token in tokens[1:] if b"=" in token]
        if tokens[:1] == [b"BUSY"]:
            return _build_result(Status.FULL, b"", figures)
        if tokens[:1] == [b"ERR"]:
            return _build_result(Status.ERROR, b"", figures)
    return None
