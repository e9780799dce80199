"""The kinds of log lines, which `docs/on-call.md` and `docs/fleet.md` explain.

Operators' alarms match these texts, so a changed text is added to the table of changed lines in `docs/on-call.md`.
"""

from __future__ import annotations

from enum import StrEnum


class LogKind(StrEnum):
    """The kind of a log line; its value precedes the colon in a plain line."""

    # Lifecycle
    START = "start"
    LISTENING = "listening"
    CANNOT_LISTEN = "cannot listen"
    READY = "ready"
    PHASE = "phase"
    STALL = "stall"
    CALLS = "calls"
    CALL = "call"
    RELOAD = "reload"
    SOCKETS = "sockets"
    NOTIFY = "notify"

    # Clients
    CLIENT_COMMAND_MALFORMED = "client command malformed"
    CLIENT_COMMAND_INVALID = "client command invalid"
    CLIENTS = "clients"
    BACKLOG = "backlog"
    INPUT = "input"
    CAPACITY = "capacity"
    CUT_SHORT = "cut short"
    REJECTIONS = "rejections"
    OVERDUE = "overdue"
    LATE = "late"

    # Backends
    CONNECT_FAILED = "connect failed"
    RESET = "reset"
    BACKEND_REPLY_MALFORMED = "backend reply malformed"
    BODY_STUCK = "body stuck"
    BAD_FIGURES = "bad figures"
    POOL = "pool"

    # Counter and discovery
    COUNTER_DOWN = "counter down"
    COUNTER_UNRESPONSIVE = "counter unresponsive"
    COUNTER_ERROR = "counter error"
    COUNTER_REPLY_MALFORMED = "counter reply malformed"
    DISCOVERY = "discovery"

    # Faults of the program
    GATEWAY = "gateway"

    # Daemons
    SNAPSHOT = "snapshot"
    HANDOVER = "handover"
    BUDGETS = "budgets"
    OVERLOAD = "overload"
    LEVEL = "level"

    # The supervisor
    FLEET = "fleet"
    MEMBER = "member"
    CRASH_LOOP = "crash loop"
    ROLL = "roll"
    STARTED = "started"
    ADOPTED = "adopted"
    REGISTRY = "registry"
    ORDER = "order"
    LEAVE = "leave"
    RESIZE = "resize"
