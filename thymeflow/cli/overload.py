"""`thymeflow overload`: which backends the fleet has ejected, by whose reports, and which member probes them."""

from __future__ import annotations

from typing import TYPE_CHECKING

import click

from thymeflow.cli.control import FLEET_SOCKET, STATUS_TIMEOUT, send_request
from thymeflow.cli.options import ControlOptions, control_options
from thymeflow.cli.output import print_response

if TYPE_CHECKING:
    from thymeflow.handover.control_socket import Message


def format_table(response: Message) -> str:
    """Return the ejections as a table for people."""
    rows = [
        f"shed is what stands under {response['level']:.2f} of the order; pressure of the back end is "
        f"{response['pressure']:.2f}",
        f"{len(response['members'])} members speak; {response['left_out']} words were left out; "
        f"a condemned server is tried every {response['every_s']:g} s by one of them",
        f"{'server':10} {'class':14} {'state':10} {'for s':>8} {'trial':8} {'let in':>6}  on the word of",
    ]
    rows.extend(_format_ejection(ejection) for ejection in response["cases"])
    return "\n".join(rows)


def _format_ejection(ejection: Message) -> str:
    target = f"zone {ejection['zone']}" if ejection["zone"] else f"{ejection['server']:08x}"
    return (
        f"{target:10} {ejection['class'] or 'all':14} {ejection['state']:10} {ejection['for_s']:8.1f} "
        f"{ejection['trial'] or '-':8} {ejection['let_in']:6}  {', '.join(ejection['words'])}"
    )


@click.command()
@control_options
def overload(options: ControlOptions) -> None:
    """Show which servers the fleet leaves alone, on whose word, and who tries them."""
    response = send_request(options.socket_path(FLEET_SOCKET), {"do": "overload"}, STATUS_TIMEOUT)
    print_response(response, options.as_json, format_table(response) if response.get("ok") else "")
