"""`thymeflow snapshot show FILE` and `take NAME`."""

from __future__ import annotations

import json
import sys
import time
from pathlib import Path

import click

from thymeflow.cli.common import (
    BAD_SETTINGS,
    asked,
    fail,
    folder_of,
    json_option,
    printed,
    settings_of,
    settings_option,
)
from thymeflow.cli.instance import PATIENCE, state_option


@click.group()
def snapshot() -> None:
    """What an instance remembers from one life to the next."""


@snapshot.command()
@click.argument("file", type=click.Path(dir_okay=False))
@click.option("--customers", type=click.IntRange(0, 100000), default=10, help="How many, the emptiest first.")
@json_option
def show(file: str, customers: int, as_json: bool) -> None:
    """Show what lies in a snapshot FILE, and whether it is sound."""
    from dataclasses import asdict

    from thymeflow.snapshot import atomic_file, schema

    try:
        data = atomic_file.read(Path(file))
        if data is None:
            fail(f"{file}: there is no such file", BAD_SETTINGS)
        found = schema.unpack(data)
    except schema.SnapshotError as fault:
        fail(f"{file}: {fault}", BAD_SETTINGS)
    if as_json:
        click.echo(json.dumps(asdict(found)))
        sys.exit(0)
    age = time.time() - found.taken
    kind = "the last of its life" if found.final else "taken in passing"
    click.echo(f"{found.name}, life {found.life}, site {found.site}: {kind}, {age:.1f} s old, one of {found.gateways}")
    click.echo(
        f"{len(found.servers)} servers (list {found.version}), {len(found.stores)} customers, "
        f"pressure {found.pressure:.2f}"
    )
    for store in sorted(found.stores, key=lambda s: s.level)[:customers]:
        click.echo(
            f"  {store.number:08x} {store.plan:12} level {store.level:9.2f}  asks {store.own:7.2f}/s here, "
            f"{store.others:7.2f}/s elsewhere; charged {store.charged:.1f}"
        )


@snapshot.command()
@click.argument("name")
@settings_option
@state_option
@json_option
def take(name: str, settings_path: str | None, state: str | None, as_json: bool) -> None:
    """Let instance NAME write its snapshot now."""
    answer = asked(folder_of(settings_of(settings_path), state) / f"{name}.sock", {"do": "snapshot"}, PATIENCE)
    printed(answer, as_json, f"{answer.get('path')}: {answer.get('bytes')} bytes")
