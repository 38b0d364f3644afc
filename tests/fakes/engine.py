"""A stand-in for a prefill or decode engine, run as a separate process.

It serves docs/reference/engine-interface.md. `POST` and `GET /v1/admin/faults`
are for tests only; `_faults.py` lists the faults.
"""

from __future__ import annotations

import argparse
import contextlib
import itertools
import threading
import time
from collections import deque
from collections.abc import Iterator
from dataclasses import asdict
from urllib.parse import parse_qs, urlsplit

from tests.fakes._announce import Announcer, new_incarnation, serve_until_stopped
from tests.fakes._decode import DecodePool, DecodeSpeed, OpenStream, StreamItem
from tests.fakes._faults import Faults
from tests.fakes._http import JsonHandler, apply_reply_faults, listen, print_ready
from tests.fakes._orders import Order, OrderRegistry
from tests.fakes._prefill import EventLog, PrefillServer, PrefillSpeed
from tests.fakes._records import Call, HeldMemory, RefusalError, RunRecords, now_ms

EXPORT_PATH = "/v1/export/"
LOAD_SAMPLE_SECONDS = 0.05


class Engine:
    """One engine with its role, its prefill and decode parts, and its records."""

    def __init__(self, options: argparse.Namespace) -> None:
        self.options = options
        self.incarnation = new_incarnation()
        self.role = options.role
        self.model = options.model
        self.leaving = False
        self.leaving_ms = 0
        self.address = ""
        self.faults = Faults()
        self.records = RunRecords()
        self.events = EventLog(options.event_lag_ms, options.event_loss, options.seed)
        self.prefill = PrefillServer(
            PrefillSpeed(
                options.prefill_tokens_per_second,
                options.kv_bytes_per_token,
                options.link_bytes_per_second,
                options.held_tokens_limit,
                options.cache_tokens,
            ),
            self.events,
            self.records,
            self.faults,
        )
        self.decode = DecodePool(
            DecodeSpeed(
                options.slots,
                options.decode_ms_per_token,
                options.decode_ms_per_token_per_busy_slot,
            ),
            self.records,
            self.faults,
        )
        self.orders = OrderRegistry(options.check_fence, self.is_idle, self._carry_out)
        self.announcer = Announcer(
            [entry for entry in options.entry.split(",") if entry],
            options.endpoint_secret,
            self.announcement,
        )
        self._samples: deque[tuple[float, dict]] = deque(maxlen=10_000)

    def start(self, address: str) -> None:
        """Start announcing the address and sampling the load."""
        self.address = self.options.announced_address or address
        threading.Thread(target=self._sample_load, daemon=True).start()
        self.announcer.start()

    def announcement(self) -> dict:
        """Return the announcement of the engine."""
        return {
            "endpoint_id": self.options.endpoint_id,
            "incarnation": self.incarnation,
            "address": self.address,
            "availability_zone": self.options.zone,
            "service": self.options.service,
            "role": self.role,
            "model": self.model,
            "slots": self.options.slots,
            "leaving": self.leaving,
        }

    def leave(self) -> None:
        """Announce that this incarnation leaves; it keeps serving requests."""
        if not self.leaving:
            self.leaving = True
            self.leaving_ms = now_ms()
        self.announcer.announce_now()

    def is_idle(self) -> bool:
        """Return whether no memory is held for any request."""
        return not self.held()

    def held(self) -> list[HeldMemory]:
        """Return the memory that is held now."""
        return self.prefill.held() + self.decode.held()

    def _carry_out(self, order: Order) -> None:
        if order.kind == "drain":
            self.leave()
            return
        if order.kind == "load_model":
            time.sleep(self.options.load_model_ms / 1000)
        self.model = order.model or self.model
        self.role = order.role or self.role
        self.announcer.announce_now()

    def _sample_load(self) -> None:
        while True:
            self._samples.append((time.monotonic(), self._load()))
            lag = self.options.load_lag_ms / 1000
            while len(self._samples) > 1 and self._is_old(self._samples[1], lag):
                self._samples.popleft()
            time.sleep(LOAD_SAMPLE_SECONDS)

    @staticmethod
    def _is_old(sample: tuple[float, dict], lag: float) -> bool:
        return time.monotonic() - sample[0] >= lag

    def _load(self) -> dict:
        part = self.prefill if self.role == "prefill" else self.decode
        return part.load()

    def status(self) -> dict:
        """Return `/v1/status`: current held memory, and the load with its lag."""
        sampled_at, load = time.monotonic(), self._load()
        if self.options.load_lag_ms and self._samples:
            sampled_at, load = self._samples[0]
        age_ms = int((time.monotonic() - sampled_at) * 1000)
        return {
            "endpoint_id": self.options.endpoint_id,
            "incarnation": self.incarnation,
            "role": self.role,
            "model": self.model,
            "service": self.options.service,
            "leaving": self.leaving,
            "slots": self.options.slots,
            "held": [asdict(item) for item in self.held()],
            "load": {**load, "reported_ms_ago": age_ms},
        }

    def check_role(self, role: str) -> None:
        """Refuse a call if the engine has another role."""
        if self.role != role:
            raise RefusalError(409, "wrong_role")


class EngineHandler(JsonHandler):
    """The calls of the engine interface."""

    engine: Engine
    routes = {
        "POST /v1/prefill": "prefill",
        "POST /v1/import": "import_cache",
        "POST /v1/decode": "decode",
        "POST /v1/cancel": "cancel",
        "GET /v1/status": "status",
        "GET /v1/events": "events",
        "POST /v1/orders": "order",
        "GET /v1/records": "records",
        "GET /v1/admin/faults": "read_faults",
        "POST /v1/admin/faults": "change_faults",
    }

    def route(self, method: str, path: str) -> str | None:
        """Return `export` for its path, which ends with a kv_id."""
        is_export = method == "GET" and path.startswith(EXPORT_PATH)
        return "export" if is_export else None

    def prefill(self) -> None:
        """Compute a prefill."""
        body = self.read_json()
        self.engine.check_role("prefill")
        call = Call.from_body(body)
        held = self.engine.prefill.prefill(call, str(body.get("prompt", "")))
        answer = {
            **apply_reply_faults(self.engine.faults, call.echo()),
            "kv_id": held.kv_id,
            "prompt_tokens": held.prompt_tokens,
            "cached_tokens": held.cached_tokens,
            "computed_tokens": held.computed_tokens,
        }
        self.reply(200, answer)

    def export(self) -> None:
        """Send a held KV cache at the link's rate."""
        kv_id = self.path.removeprefix(EXPORT_PATH)
        size, chunks = self.engine.prefill.export(kv_id)
        self.start_stream("application/octet-stream", size)
        sent = 0
        with contextlib.closing(chunks):
            for chunk in chunks:
                self.wfile.write(chunk)
                sent += len(chunk)
        self.close_connection = self.close_connection or sent < size

    def import_cache(self) -> None:
        """Fetch a KV cache into a slot."""
        body = self.read_json()
        self.engine.check_role("decode")
        call = Call.from_body(body)
        slot = self.engine.decode.import_cache(
            call,
            str(body.get("kv_id", "")),
            str(body.get("source", "")),
            bool(body.get("wait", True)),
        )
        answer = {
            **apply_reply_faults(self.engine.faults, call.echo()),
            "kv_id": slot.kv_id,
            "prompt_tokens": slot.prompt_tokens,
        }
        self.reply(200, answer)

    def decode(self) -> None:
        """Stream the tokens of an imported cache."""
        body = self.read_json()
        self.engine.check_role("decode")
        call = Call.from_body(body)
        if self.engine.faults.take("fail_next_decode"):
            raise RefusalError(500, "decode_failed")
        offset, limit = int(body.get("offset", 0)), int(body.get("max_tokens", 0))
        stream = self.engine.decode.open_stream(
            call, str(body.get("kv_id", "")), offset, limit
        )
        self._run_stream(call, stream)

    def _run_stream(self, call: Call, stream: OpenStream) -> None:
        run = self.engine.records.start("decode", call, stream.slot.kv_id)
        last, outcome = -1, "cut"
        try:
            echo = apply_reply_faults(self.engine.faults, call.echo())
            self.start_stream("application/x-ndjson")
            self.write_line({**echo, "accepted": True})
            for item in self._truncated(stream):
                self.write_line(_stream_line(echo, item))
                outcome = "done" if item.token is None else "cut"
                last = last if item.token is None else item.index
        finally:
            if self.engine.options.free_on_close:
                self.engine.decode.release(stream)
            self.engine.records.finish(
                run,
                "cancelled" if stream.slot.cancelled else outcome,
                computed_tokens=stream.slot.computed_tokens,
                first_index=stream.offset if last >= 0 else -1,
                last_index=last,
            )

    def _truncated(self, stream: OpenStream) -> Iterator[StreamItem]:
        """Yield the stream's items, or only the first few if a test set that fault."""
        items = self.engine.decode.tokens(stream, self._client_is_wanted)
        if not self.engine.faults.take("truncate_next_decode"):
            return items
        allowed = int(self.engine.faults.value("truncate_after_tokens"))
        return itertools.islice(items, allowed)

    def _client_is_wanted(self) -> bool:
        return not self.engine.options.free_on_close or self.peer_is_open()

    def cancel(self) -> None:
        """Free everything held for an attempt."""
        call = Call.from_body(self.read_json())
        if self.engine.faults.take("ignore_cancel"):
            self.reply(200, {**call.echo(), "cancelled": False})
            return
        prefill = self.engine.prefill.cancel(call)
        decode = self.engine.decode.cancel(call)
        self.reply(200, {**call.echo(), "cancelled": prefill or decode})

    def status(self) -> None:
        """Report held memory and load."""
        self.reply(200, self.engine.status())

    def events(self) -> None:
        """Report cache events."""
        query = parse_qs(urlsplit(self.path).query)
        try:
            after = int(query.get("after", ["0"])[0])
        except ValueError as error:
            raise RefusalError(400, "bad_number") from error
        self.reply(200, self.engine.events.after(after))

    def order(self) -> None:
        """Accept an order."""
        order = Order.from_body(self.read_json())
        state = self.engine.orders.accept(order)
        self.reply(200, {"order_id": order.order_id, "state": state})

    def records(self) -> None:
        """Report every run, which tests check independently."""
        answer = {
            **self.engine.records.as_json(),
            "held": [asdict(item) for item in self.engine.held()],
            "orders": self.engine.orders.as_json(),
            "leaving_ms": self.engine.leaving_ms,
        }
        self.reply(200, answer)

    def read_faults(self) -> None:
        """Report the active faults."""
        self.reply(200, self.engine.faults.as_json())

    def change_faults(self) -> None:
        """Set faults."""
        try:
            self.engine.faults.change(self.read_json())
        except ValueError as error:
            raise RefusalError(400, f"no fault {error}") from error
        self.reply(200, self.engine.faults.as_json())


def _stream_line(echo: dict, item: StreamItem) -> dict:
    if item.token is None:
        return {**echo, "end": True, "tokens": item.index}
    return {**echo, "index": item.index, "token": item.token}


def parse_options(arguments: list[str] | None = None) -> argparse.Namespace:
    """Read the command line of the engine."""
    parser = argparse.ArgumentParser(description=__doc__)
    add = parser.add_argument
    add("--endpoint-id", required=True)
    add("--address", default="127.0.0.1:0")
    add("--role", choices=("prefill", "decode"), required=True)
    add("--service", required=True)
    add("--model", default="model")
    add("--zone", default="zone-1")
    add("--slots", type=int, default=4)
    add("--prefill-tokens-per-second", type=float, default=50_000)
    add("--decode-ms-per-token", type=float, default=5)
    add("--decode-ms-per-token-per-busy-slot", type=float, default=0)
    add("--kv-bytes-per-token", type=int, default=64)
    add("--link-bytes-per-second", type=float, default=50_000_000)
    add("--held-tokens-limit", type=int, default=100_000)
    add("--cache-tokens", type=int, default=100_000)
    add("--load-lag-ms", type=float, default=0)
    add("--event-lag-ms", type=float, default=0)
    add("--event-loss", type=float, default=0)
    add("--load-model-ms", type=float, default=100)
    add("--seed", type=int, default=1)
    add("--check-fence", action="store_true")
    add("--free-on-close", action="store_true")
    add("--entry", default="")
    add("--endpoint-secret", default="")
    add("--announced-address", default="")
    return parser.parse_args(arguments)


def main() -> None:
    """Serve until SIGTERM, then leave, finish running requests and exit with 0."""
    engine = Engine(parse_options())
    handler = type("BoundHandler", (EngineHandler,), {"engine": engine})
    server = listen(engine.options.address, handler)
    threading.Thread(target=server.serve_forever, daemon=True).start()
    host, port = server.server_address[:2]
    engine.start(f"{host!s}:{port}")
    print_ready(server)
    serve_until_stopped(engine.leave, engine.is_idle)


if __name__ == "__main__":
    main()
