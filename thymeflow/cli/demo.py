"""`thymeflow demo`: three limiters with fake peers, for a first look."""

from __future__ import annotations

import sys

import click


@click.command()
@click.option(
    "--seconds",
    type=click.FloatRange(4.0, 3600.0),
    default=20.0,
    show_default=True,
    help="For about how long requests are sent.",
)
def demo(seconds: float) -> None:
    """Run three limiters with fakes of all that they need.

    Sends real requests of four plans over loopback, kills a backend and restarts it, and upgrades while serving. It
    needs no settings and leaves no files. Ctrl-C ends it early, with the same summary.
    """
    from thymeflow.testkit.demo import run_demo

    sys.exit(run_demo(seconds))
