"""A host that runs only membership, and measures its cost.

Run as `python -m bench.membership.host HOST_ID ADDRESS ZONE SEED...`. Each line on its
standard input is a command: `report` prints one JSON line, `watch` prints a JSON line
for each change of a host's status, and `revision N` sets the configuration revision.
"""

from __future__ import annotations

import gc
import json
import sys
import threading
import time
from pathlib import Path
from typing import Any

from thrift.transport import TSocket

from jujubeslip.kernel import Process, new_incarnation
from jujubeslip.membership import Gossip, HostDirectory, PeerClients
from jujubeslip.peers import (
    EntryPeer,
    GossipMessage,
    HostState,
    HostStatus,
    PeerIdentity,
    PeerServer,
)

SECRET = "peer-secret-for-measurement"
REGION = "region-1"
# Size of the headers of a TCP segment on Ethernet, with the timestamp option.
TCP_SEGMENT_HEADER_BYTES = 66


class Traffic:
    """Bytes and messages that this process writes to and reads from its sockets."""

    def __init__(self) -> None:
        self.sent_bytes = 0
        self.sent_messages = 0
        self.received_bytes = 0
        self._lock = threading.Lock()

    def count(self) -> None:
        """Start counting, in the transport of all connections."""
        write, read = TSocket.TSocket.write, TSocket.TSocket.read

        def counting_write(transport: Any, data: bytes) -> None:
            with self._lock:
                self.sent_bytes += len(data)
                self.sent_messages += 1
            write(transport, data)

        def counting_read(transport: Any, size: int) -> bytes:
            data: bytes = read(transport, size)
            with self._lock:
                self.received_bytes += len(data)
            return data

        TSocket.TSocket.write = counting_write
        TSocket.TSocket.read = counting_read


class MembershipHandler:
    """The membership calls of an entry host, without its other calls."""

    def __init__(self, gossip: Gossip) -> None:
        self.gossip = gossip.receive
        self.reaches = gossip.reaches
        self.hosts_after = gossip.hosts_after


class MembershipHost:
    """The membership of an entry host."""

    def __init__(
        self, host_id: str, address: str, zone: str, address_by_id: dict[str, str]
    ) -> None:
        incarnation = new_incarnation()
        self.process = Process("membership")
        own = HostState(
            host_id, incarnation, address, zone, HostStatus.ALIVE, 0, 0, REGION
        )
        self.revision = 0
        self.directory = HostDirectory(own, address_by_id)
        self.clients = PeerClients(PeerIdentity(host_id, incarnation, SECRET))
        self.gossip = Gossip(
            self.directory,
            self.clients,
            tuple(address_by_id.values()),
            lambda: self.revision,
            lambda address: None,
        )
        self.server = PeerServer(
            address,
            EntryPeer.Processor,
            MembershipHandler(self.gossip),
            SECRET,
            self.process,
        )

    def start(self) -> None:
        """Serve peers and start the background tasks."""
        self.server.start()
        self.gossip.start(self.process)

    def stop(self) -> None:
        """Stop the background tasks; open connections close with the process."""
        self.process.stopped.set()
        self.server.close()

    def ask(self, message: GossipMessage) -> GossipMessage:
        """Answer a peer's message without a connection."""
        return self.gossip.receive(message)


def report(host: MembershipHost, traffic: Traffic) -> dict[str, Any]:
    """Return the cost of the process since its start, and the hosts that it knows."""
    status_by_id = {
        state.host_id: state.status.name for state in host.directory.states()
    }
    return {
        "host_id": host.directory.own.host_id,
        "at": time.monotonic(),
        "cpu_seconds": time.process_time(),
        "sent_bytes": traffic.sent_bytes,
        "sent_messages": traffic.sent_messages,
        "received_bytes": traffic.received_bytes,
        "resident_kib": _resident_kib(),
        "threads": threading.active_count(),
        "status_by_id": status_by_id,
        "live": [state.host_id for state in host.directory.live_hosts()],
    }


def _resident_kib() -> int:
    for line in Path("/proc/self/status").read_text().splitlines():
        if line.startswith("VmRSS:"):
            return int(line.split()[1])
    return 0


def print_status_changes(host: MembershipHost) -> None:
    """Print a line with the time of each change of a host's status."""
    known: dict[str, str] = {}
    while not host.process.stopped.wait(0.05):
        now = time.monotonic()
        for state in host.directory.states():
            if known.get(state.host_id) != state.status.name:
                known[state.host_id] = state.status.name
                _print_json(
                    {"changed": state.host_id, "to": state.status.name, "at": now}
                )


def main() -> None:
    """Run the host until the standard input is closed."""
    host_id, address, zone, *seeds = sys.argv[1:]
    traffic = Traffic()
    traffic.count()
    address_by_id = dict(seed.split("=") for seed in seeds)
    address_by_id.pop(host_id, None)
    host = MembershipHost(host_id, address, zone, address_by_id)
    host.start()
    gc.freeze()
    _print_json({"ready": True})
    for line in sys.stdin:
        if line.strip() == "report":
            _print_json(report(host, traffic))
        elif line.strip() == "watch":
            threading.Thread(
                target=print_status_changes, args=(host,), daemon=True
            ).start()
        elif line.startswith("revision "):
            host.revision = int(line.split()[1])
    host.stop()


def _print_json(message: dict[str, Any]) -> None:
    sys.stdout.write(json.dumps(message) + "\n")
    sys.stdout.flush()


if __name__ == "__main__":
    main()
