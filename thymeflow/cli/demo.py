"""`thymeflow demo`: a demonstration of three limiters with fake peers."""

from __future__ import annotations

import sys

import click


@click.command()
@click.option(
    "--seconds",
    type=click.FloatRange(4.0, 3600.0),
    default=20.0,
    show_default=True,
    help="Approximate number of seconds for which requests are sent.",
)
def demo(seconds: float) -> None:
    """Run a demonstration: three limiters with fakes of their peers.

    The demo sends real requests of four plans over loopback, kills and restarts a backend, and upgrades the limiters
    one by one while they serve. It needs no settings and leaves no files. Ctrl-C ends it early, with the same summary.
    """
    from thymeflow.testkit.demo import run_demo

    sys.exit(run_demo(seconds))
