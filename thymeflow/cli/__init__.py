"""The command line. Each command parses its arguments, calls one function of a subsystem and prints the result.

The command group imports a command only when it is used, so that each command loads only the modules it needs. The
docstring of a command is its help text.
"""

from __future__ import annotations

import importlib

import click

COMMANDS = {
    "serve": "thymeflow.cli.serve:serve",
    "check": "thymeflow.cli.check:check",
    "status": "thymeflow.cli.instance:status",
    "drain": "thymeflow.cli.instance:drain",
    "reload": "thymeflow.cli.instance:reload",
    "log-level": "thymeflow.cli.instance:log_level",
    "snapshot": "thymeflow.cli.snapshot:snapshot",
    "fleet": "thymeflow.cli.fleet:fleet",
    "demo": "thymeflow.cli.demo:demo",
    "budgets": "thymeflow.cli.budgets:budgets",
    "overload": "thymeflow.cli.overload:overload",
    "lab": "thymeflow.cli.faults:faults",
}


class LazyGroup(click.Group):
    """A command group that imports a command on its first use."""

    def list_commands(self, ctx: click.Context) -> list[str]:  # noqa: ARG002 - click's signature
        """Return the names of all commands."""
        return list(COMMANDS)

    def get_command(self, ctx: click.Context, cmd_name: str) -> click.Command | None:  # noqa: ARG002 - as above
        """Return the command of that name, or None if there is none."""
        if cmd_name not in COMMANDS:
            return None
        module, _, name = COMMANDS[cmd_name].partition(":")
        command: click.Command = getattr(importlib.import_module(module), name)
        return command


@click.command(cls=LazyGroup, context_settings={"help_option_names": ["-h", "--help"], "max_content_width": 100})
@click.version_option(package_name="thymeflow")
def thymeflow() -> None:
    """Enforce the quotas of customers in front of a fleet of backends.

    Without a command, run one limiter as the platform starts it, with the JSON file that BALANCER_CONFIG names.

    Exit codes: 0 done; 1 requested and not done; 2 bad settings, configuration or usage; 3 cannot listen;
    4 another process owns the name; 5 handover failed; 6 no reply from the control socket.
    """


def run() -> int:
    """Run the command line and return its exit code."""
    result: object = thymeflow(standalone_mode=True)
    return result if isinstance(result, int) else 0
