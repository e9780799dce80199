"""`thymeflow snapshot show FILE` and `take NAME`."""

from __future__ import annotations

import json
import sys
import time
from pathlib import Path
from typing import TYPE_CHECKING

import click

from thymeflow.cli.control import STATUS_TIMEOUT, send_request
from thymeflow.cli.options import ControlOptions, control_options, json_option
from thymeflow.cli.output import BAD_SETTINGS, fail, print_response

if TYPE_CHECKING:
    from thymeflow.snapshot.schema import Snapshot


@click.group()
def snapshot() -> None:
    """What an instance remembers from one life to the next."""  # noqa: D401 - the help text


@snapshot.command()
@click.argument("file", type=click.Path(dir_okay=False))
@click.option("--customers", type=click.IntRange(0, 100000), default=10, help="How many, the emptiest first.")
@json_option
def show(file: str, customers: int, as_json: bool) -> None:
    """Show what lies in a snapshot FILE, and whether it is sound."""
    from dataclasses import asdict

    found = _read_snapshot(file)
    if as_json:
        click.echo(json.dumps(asdict(found)))
        sys.exit(0)
    click.echo(format_snapshot(found, customers))


def _read_snapshot(file: str) -> Snapshot:
    """Return the snapshot in a file; exit if there is none that can be read."""
    from thymeflow.snapshot import atomic_file, schema

    try:
        data = atomic_file.read(Path(file))
        if data is None:
            fail(f"{file}: there is no such file", BAD_SETTINGS)
        return schema.unpack(data)
    except schema.SnapshotError as error:
        fail(f"{file}: {error}", BAD_SETTINGS)


def format_snapshot(found: Snapshot, max_customers: int) -> str:
    """Return a snapshot as lines for people, with the customers whose buckets are the emptiest."""
    age_seconds = time.time() - found.taken
    kind = "the last of its life" if found.final else "taken in passing"
    lines = [
        f"{found.name}, life {found.life}, site {found.site}: {kind}, {age_seconds:.1f} s old, one of {found.gateways}",
        f"{len(found.servers)} servers (list {found.version}), {len(found.stores)} customers, "
        f"pressure {found.pressure:.2f}",
    ]
    for bucket in sorted(found.stores, key=lambda store: store.level)[:max_customers]:
        lines.append(
            f"  {bucket.number:08x} {bucket.plan:12} level {bucket.level:9.2f}  asks {bucket.own:7.2f}/s here, "
            f"{bucket.others:7.2f}/s elsewhere; charged {bucket.charged:.1f}"
        )
    return "\n".join(lines)


@snapshot.command()
@click.argument("name")
@control_options
def take(options: ControlOptions, name: str) -> None:
    """Let instance NAME write its snapshot now."""
    response = send_request(options.socket_path(name), {"do": "snapshot"}, STATUS_TIMEOUT)
    print_response(response, options.as_json, f"{response.get('path')}: {response.get('bytes')} bytes")
