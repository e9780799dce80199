"""`thymeflow demo`: what a newcomer runs first."""

from __future__ import annotations

import sys

import click


@click.command()
@click.option(
    "--seconds",
    type=click.FloatRange(4.0, 3600.0),
    default=20.0,
    show_default=True,
    help="For about how long requests are made.",
)
def demo(seconds: float) -> None:
    """Show three limiters at work, with stand-ins for all that they need.

    Real requests of four plans over loopback, a server killed and back, an upgrade while serving. Nothing has to be
    written before, and nothing is left behind. Ctrl-C ends it early, with the same summary.
    """
    from thymeflow.testkit.demo import run_demo

    sys.exit(run_demo(seconds))
