"""Membership of entry hosts by probes and gossip, and ownership of pools and keys."""

from jujubeslip.membership._directory import HostDirectory
from jujubeslip.membership._gossip import Gossip
from jujubeslip.membership._peer_clients import PeerClients
from jujubeslip.membership._rendezvous import rendezvous_order

__all__ = ["Gossip", "HostDirectory", "PeerClients", "rendezvous_order"]
