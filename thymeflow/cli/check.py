"""`thymeflow check`: every fault of our settings and of the platform's configuration, with its mend."""

from __future__ import annotations

import json
import os
import sys
from dataclasses import asdict
from pathlib import Path
from typing import Any

import click

from thymeflow.cli.common import BAD_SETTINGS, json_option, settings_option
from thymeflow.settings import Fault, Settings, SettingsError, read_settings
from thymeflow.settings.reader import format_settings, suggest_name

TOP = ("name", "listen", "discovery", "seed", "limits", "counter", "known", "settings")


def platform_faults(path: str) -> list[Fault]:
    """All that is wrong with the platform's JSON, as far as it can be told one by one."""
    from thymeflow.platform import configuration, endpoints
    from thymeflow.platform.settings import settings_from

    try:
        source: Any = json.loads(Path(path).read_text())
    except OSError as fault:
        return [Fault(path, 0, "", "", f"cannot be read ({fault.strerror})", "name a file that may be read")]
    except json.JSONDecodeError as fault:
        return [Fault(path, fault.lineno, "", "", f"is no JSON: {fault.msg}", "mend it at that line")]
    except ValueError as fault:
        return [Fault(path, 0, "", "", str(fault), "save it as UTF-8")]
    if not isinstance(source, dict):
        return [Fault(path, 0, "", "", "is no JSON object", "begin it with {")]
    faults = [
        Fault(path, 0, "", key, "is no key of the platform's", suggest_name(key, TOP))
        for key in source
        if key not in TOP
    ]
    checks: dict[str, Any] = {
        "listen": lambda v: endpoints.address(v, 0),
        "discovery": endpoints.address,
        "counter": endpoints.address,
        "known": lambda v: endpoints.endpoint_update(v, cached=True),
        "seed": lambda v: int(str(v), 16),
        "settings": settings_from,
    }
    mends = {
        "listen": "write host:port",
        "discovery": "write host:port",
        "counter": "write host:port",
        "known": "write a list in discovery's form",
        "seed": "write a hexadecimal number",
        "settings": "compare it with deploy/example.json",
    }
    for key, check in checks.items():
        if source.get(key) is None:
            continue
        try:
            check(source[key])
        except KeyError as fault:
            faults.append(Fault(path, 0, "", key, f"{fault} is missing", mends[key]))
        except (ValueError, TypeError, AttributeError, OverflowError) as fault:
            faults.append(Fault(path, 0, "", key, str(fault), mends[key]))
    if not faults:
        try:
            configuration.from_source(source, path, os.environ)
        except configuration.ConfigurationError as fault:
            faults.append(Fault(path, 0, "", "", str(fault).removeprefix(f"{path}: "), "mend what it names"))
    return faults


def together(settings: Settings) -> list[Fault]:
    """What is wrong with values that are right one by one."""
    faults, fleet = [], settings.fleet
    if fleet.longest_wait < fleet.wait:
        faults.append(Fault("settings", 0, "fleet", "longest-wait", "is shorter than wait", "make it the longer"))
    if settings.snapshot.keep and settings.snapshot.fresh < settings.snapshot.every:
        faults.append(
            Fault(
                "settings",
                0,
                "snapshot",
                "fresh",
                "is shorter than every, so that no snapshot taken in passing would be read",
                "make it some times as long",
            )
        )
    port = int(fleet.listen.rpartition(":")[2])
    if port and port + fleet.instances > 65536:
        faults.append(
            Fault(
                "settings",
                0,
                "fleet",
                "listen",
                f"member {fleet.instances - 1} would listen on port {port + fleet.instances - 1}",
                "begin at a lower port",
            )
        )
    return faults


@click.command()
@settings_option
@click.option(
    "--platform",
    type=click.Path(dir_okay=False),
    default=None,
    help="The platform's JSON; [daemon] platform or BALANCER_CONFIG where it is left out.",
)
@click.option("--show", is_flag=True, help="Print all settings in force, start values included.")
@json_option
def check(settings_path: str | None, platform: str | None, show: bool, as_json: bool) -> None:
    """Check settings and configuration, and tell every fault with its mend."""
    faults: list[Fault] = []
    settings = Settings()
    try:
        settings = read_settings(settings_path)
        faults += together(settings)
    except SettingsError as fault:
        faults += fault.faults
    path = platform or settings.daemon.platform or os.environ.get("BALANCER_CONFIG", "")
    if path:
        faults += platform_faults(path)
    if as_json:
        click.echo(json.dumps({"ok": not faults, "faults": [asdict(f) for f in faults]}))
    else:
        for one in faults:
            click.echo(str(one), err=True)
        if show and not faults:
            click.echo(format_settings(settings), nl=False)
        click.echo(
            f"{len(faults)} faults"
            if faults
            else f"good: {settings_path or 'start values'}{f' and {path}' if path else ''}",
            err=bool(faults),
        )
    sys.exit(BAD_SETTINGS if faults else 0)
