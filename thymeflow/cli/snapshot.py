"""`thymeflow snapshot`: `show FILE` prints a snapshot, and `take NAME` lets an instance write one."""

from __future__ import annotations

import json
import sys
import time
from pathlib import Path
from typing import TYPE_CHECKING

import click

from thymeflow.cli.control import STATUS_TIMEOUT_SECONDS, send_request
from thymeflow.cli.options import ControlOptions, control_options, json_option
from thymeflow.cli.output import BAD_SETTINGS, exit_with_error, print_response

if TYPE_CHECKING:
    from thymeflow.snapshot.schema import Snapshot


@click.group()
def snapshot() -> None:
    """Show or write snapshots, which an instance restores after a restart."""


@snapshot.command()
@click.argument("file", type=click.Path(dir_okay=False))
@click.option(
    "--customers",
    type=click.IntRange(0, 100000),
    default=10,
    help="Number of customers to show; those with the lowest bucket levels come first.",
)
@json_option
def show(file: str, customers: int, as_json: bool) -> None:
    """Show the content of a snapshot FILE, and whether it is valid."""
    from dataclasses import asdict

    content = _read_snapshot(file)
    if as_json:
        click.echo(json.dumps(asdict(content)))
        sys.exit(0)
    click.echo(format_snapshot(content, customers))


def _read_snapshot(file: str) -> Snapshot:
    """Return the snapshot in a file; exit if the file has no valid snapshot."""
    from thymeflow.snapshot import atomic_file, schema

    try:
        data = atomic_file.read(Path(file))
        if data is None:
            exit_with_error(f"{file}: there is no such file", BAD_SETTINGS)
        return schema.unpack(data)
    except schema.SnapshotError as error:
        exit_with_error(f"{file}: {error}", BAD_SETTINGS)


def format_snapshot(content: Snapshot, max_customers: int) -> str:
    """Return a snapshot as readable lines, with the `max_customers` customers that have the lowest bucket levels."""
    age_seconds = time.time() - content.taken
    kind = "final" if content.final else "taken while running"
    lines = [
        f"{content.name}, incarnation {content.life}, site {content.site}: {kind}, {age_seconds:.1f} s old, "
        f"one of {content.gateways} limiters",
        f"{len(content.servers)} backends (endpoint list version {content.version}), {len(content.stores)} customers, "
        f"pressure {content.pressure:.2f}",
    ]
    for bucket in sorted(content.stores, key=lambda store: store.level)[:max_customers]:
        lines.append(
            f"  {bucket.number:08x} {bucket.plan:12} level {bucket.level:9.2f}  demand {bucket.own:7.2f}/s here, "
            f"{bucket.others:7.2f}/s at other limiters; charged {bucket.charged:.1f}"
        )
    return "\n".join(lines)


@snapshot.command()
@click.argument("name")
@control_options
def take(options: ControlOptions, name: str) -> None:
    """Let instance NAME write its snapshot now."""
    response = send_request(options.find_socket_path(name), {"do": "snapshot"}, STATUS_TIMEOUT_SECONDS)
    print_response(response, options.as_json, f"{response.get('path')}: {response.get('bytes')} bytes")
