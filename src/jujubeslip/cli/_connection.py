"""Options and clients for connections from operators' commands to the system."""

from __future__ import annotations

import getpass
from collections.abc import Callable
from typing import Any

import click
from pydantic import TypeAdapter, ValidationError

from jujubeslip.control import ControlClient
from jujubeslip.kernel import Address, PeerAddress, new_incarnation
from jujubeslip.peers import EntryPeer, PeerClient, PeerIdentity


class AddressType(click.ParamType):
    """An IP:PORT argument, validated as in the settings."""

    name = "IP:PORT"

    def convert(
        self, value: Any, param: click.Parameter | None, ctx: click.Context | None
    ) -> str:
        """Return the address, or end with a usage error."""
        try:
            return str(TypeAdapter(Address).validate_python(value))
        except ValidationError:
            self.fail(f"{value!r} is not IP:PORT; give the host's peer_address.")


ADDRESS = AddressType()

json_option = click.option("--json", "as_json", is_flag=True, help="Print JSON.")

secret_option = click.option(
    "--peer-secret",
    envvar="JUJUBESLIP_PEER_SECRET",
    required=True,
    help="The peer_secret of the settings; preferably set by the environment variable "
    "JUJUBESLIP_PEER_SECRET.",
)


def control_options(command: Callable[..., Any]) -> Callable[..., Any]:
    """Add the options with the addresses of the control hosts and the peer secret."""
    control = click.option(
        "--control",
        "control_addresses",
        multiple=True,
        required=True,
        type=ADDRESS,
        help="Peer address of a control host; repeat it for each.",
    )
    return control(secret_option(command))


def operator_name() -> str:
    """Return the name that is recorded with a change: the current user's."""
    return getpass.getuser()


def operator_identity(peer_secret: str) -> PeerIdentity:
    """Return the identity that this command uses toward peers."""
    return PeerIdentity(f"operator-{operator_name()}", new_incarnation(), peer_secret)


def open_control(addresses: tuple[str, ...], peer_secret: str) -> ControlClient:
    """Return a client of the control hosts at these addresses."""
    peers = tuple(
        PeerAddress(host_id=f"control-{number}", address=address)
        for number, address in enumerate(addresses, start=1)
    )
    return ControlClient(peers, operator_identity(peer_secret))


def open_entry(address: str, peer_secret: str) -> PeerClient:
    """Return a client of the entry host at this peer address."""
    return PeerClient(EntryPeer.Client, address, operator_identity(peer_secret))
