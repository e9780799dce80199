"""The check of the platform's JSON, which checks each key on its own and so finds many faults in one run."""

from __future__ import annotations

import json
import os
from collections.abc import Callable
from pathlib import Path
from typing import NamedTuple

from thymeflow.settings import Fault
from thymeflow.settings.reader import suggest_name

PLATFORM_KEYS = ("name", "listen", "discovery", "seed", "limits", "counter", "known", "settings")


class _KeyCheck(NamedTuple):
    """The check of one key: `check` raises if the value is invalid, and `remedy` tells what to write instead."""

    key: str
    check: Callable[..., object]
    remedy: str


def find_platform_faults(path: str) -> list[Fault]:
    """Return the faults of the platform's JSON.

    If no key is faulty on its own, the whole configuration is parsed, and the error of that parser is returned.
    """
    from thymeflow.platform import configuration

    source = _read_object(path)
    if isinstance(source, Fault):
        return [source]
    faults = [
        Fault(path, 0, "", key, "is no key of the platform's", suggest_name(key, PLATFORM_KEYS))
        for key in source
        if key not in PLATFORM_KEYS
    ]
    for check in _build_key_checks():
        if source.get(check.key) is None:
            continue
        why = _check_value(check, source[check.key])
        if why is not None:
            faults.append(Fault(path, 0, "", check.key, why, check.remedy))
    if not faults:
        try:
            configuration.parse_configuration(source, path, os.environ)
        except configuration.ConfigurationError as error:
            why = str(error).removeprefix(f"{path}: ")
            faults.append(Fault(path, 0, "", "", why, "mend what it names"))
    return faults


def _read_object(path: str) -> dict[str, object] | Fault:
    """Return the JSON object in a file, or the fault because of which the file has none."""
    try:
        source: object = json.loads(Path(path).read_text())
    except OSError as error:
        return Fault(path, 0, "", "", f"cannot be read ({error.strerror})", "name a file that may be read")
    except json.JSONDecodeError as error:
        return Fault(path, error.lineno, "", "", f"is no JSON: {error.msg}", "mend it at that line")
    except ValueError as error:
        return Fault(path, 0, "", "", str(error), "save it as UTF-8")
    if not isinstance(source, dict):
        return Fault(path, 0, "", "", "is no JSON object", "begin it with {")
    return source


def _build_key_checks() -> list[_KeyCheck]:
    from thymeflow.platform import endpoints
    from thymeflow.platform.settings import parse_platform_settings

    return [
        _KeyCheck("listen", lambda value: endpoints.address(value, 0), "write host:port"),
        _KeyCheck("discovery", endpoints.address, "write host:port"),
        _KeyCheck("counter", endpoints.address, "write host:port"),
        _KeyCheck(
            "known",
            lambda value: endpoints.parse_endpoint_update(value, cached=True),
            "write a list in discovery's form",
        ),
        _KeyCheck("seed", lambda value: int(str(value), 16), "write a hexadecimal number"),
        _KeyCheck("settings", parse_platform_settings, "compare it with deploy/example.json"),
    ]


def _check_value(check: _KeyCheck, value: object) -> str | None:
    """Return the cause for which a value is invalid, or None if it is valid."""
    try:
        check.check(value)
    except KeyError as error:
        return f"{error} is missing"
    except (ValueError, TypeError, AttributeError, OverflowError) as error:
        return str(error)
    return None
