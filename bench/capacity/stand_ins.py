"""Idle stand-in endpoints in one process, for measuring their cost at the home.

Each endpoint listens on a separate loopback port, answers status and cache event
calls, and announces itself each second, but runs no requests. `endpoints.py` starts
the process.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import time

ANNOUNCE_SECONDS = 1.0
SLOTS = 8


class StandIn:
    """An idle endpoint."""

    def __init__(self, number: int, options: argparse.Namespace) -> None:
        self.endpoint_id = f"{options.prefix}-{number}"
        self.role = "prefill" if number % 4 == 0 else "decode"
        self.incarnation = time.time_ns() // 1000
        self.address = ""
        self._entry = options.entries[number % len(options.entries)]
        self._options = options
        self._status = json.dumps(self._describe_status()).encode()

    def _describe_status(self) -> dict[str, object]:
        load = {"queued": 0, "running": 0, "held_tokens": 0, "reported_ms_ago": 0}
        return {
            "endpoint_id": self.endpoint_id,
            "incarnation": self.incarnation,
            "role": self.role,
            "model": "model",
            "service": self._options.service,
            "leaving": False,
            "slots": SLOTS,
            "held": [],
            "load": load,
        }

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Answer the status and event calls of one connection."""
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                events = b"/v1/events" in head.split(b"\r\n", 1)[0]
                body = b'{"events": [], "next": 0}' if events else self._status
                writer.write(_response(body))
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError):
            writer.close()

    async def announce(self) -> None:
        """Announce the endpoint each second until the process ends."""
        while True:
            started = time.monotonic()
            try:
                await self._announce_once()
            except (OSError, asyncio.IncompleteReadError):
                print("an announcement failed", flush=True)
            await asyncio.sleep(
                max(0.05, started + ANNOUNCE_SECONDS - time.monotonic())
            )

    async def _announce_once(self) -> None:
        host, port = self._entry.split(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        body = json.dumps(
            {
                "endpoint_id": self.endpoint_id,
                "incarnation": self.incarnation,
                "address": self.address,
                "availability_zone": self._options.zone,
                "service": self._options.service,
                "role": self.role,
                "model": "model",
                "slots": SLOTS,
                "leaving": False,
            }
        ).encode()
        head = (
            f"POST /v1/endpoints HTTP/1.1\r\nHost: {self._entry}\r\n"
            f"Authorization: Bearer {self._options.endpoint_secret}\r\n"
            f"Content-Type: application/json\r\nConnection: close\r\n"
            f"Content-Length: {len(body)}\r\n\r\n"
        )
        writer.write(head.encode() + body)
        await reader.read()
        writer.close()


def _response(body: bytes) -> bytes:
    head = (
        "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
        f"Content-Length: {len(body)}\r\n\r\n"
    )
    return head.encode() + body


async def run(options: argparse.Namespace) -> None:
    """Serve all endpoints until the process ends."""
    stand_ins = [StandIn(number, options) for number in range(options.count)]
    servers = []
    for stand_in in stand_ins:
        server = await asyncio.start_server(stand_in.serve, "127.0.0.1", 0)
        host, port = server.sockets[0].getsockname()
        stand_in.address = f"{host}:{port}"
        servers.append(server)
    print('{"ready": true}', flush=True)
    tasks = []
    for stand_in in stand_ins:
        tasks.append(asyncio.create_task(stand_in.announce()))
        await asyncio.sleep(ANNOUNCE_SECONDS / len(stand_ins))
    await asyncio.gather(*tasks)


def main() -> None:
    """Parse the command line and serve."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--count", type=int, required=True)
    parser.add_argument("--prefix", required=True)
    parser.add_argument("--service", required=True)
    parser.add_argument("--zone", required=True)
    parser.add_argument("--endpoint-secret", required=True)
    parser.add_argument("--entries", type=lambda text: text.split(","), required=True)
    asyncio.run(run(parser.parse_args()))


if __name__ == "__main__":
    main()
