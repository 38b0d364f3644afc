"""A small system on loopback that serves real requests: `make demo`.

The demo starts three control hosts, three entry hosts and stand-in endpoints, sends
three requests, prints the spans of the two model requests, and stops everything.
"""

from __future__ import annotations

import logging
import sys
import tempfile
import time
from collections.abc import Iterable, Mapping
from pathlib import Path

from tests.fakes.client import OpenCall, ask
from tests.fakes.cluster import Cluster, Setting
from tests.fakes.collector import Collector, ReceivedSpan
from tests.fakes.processes import wait_until
from tests.fakes.scenarios import small_system

EXPORT_INTERVAL_MS = 200
HOPS = ("request", "reserve", "prefill", "transfer", "decode")
PROMPT = "The stop at Fifth and Main is closed today, use Third and Main instead"


def main() -> int:
    """Run the demo; return an exit status."""
    # Calls to hosts that do not listen yet are retried, so their errors are not shown.
    logging.getLogger("thrift").setLevel(logging.CRITICAL)
    collector = Collector()
    telemetry: dict[str, Setting] = {
        "otlp_endpoint": f"http://{collector.address}",
        "export_interval_ms": EXPORT_INTERVAL_MS,
    }
    spec = small_system(entries=3, controls=3, telemetry=telemetry)
    try:
        with tempfile.TemporaryDirectory(prefix="jujubeslip-demo-") as folder:
            say("Starting 3 control hosts, 3 entry hosts, 3 engines, 1 plain service")
            with Cluster(spec, Path(folder)) as cluster:
                all_complete = _serve(cluster, collector)
                say("Stopping")
    finally:
        collector.stop()
    say("Stopped")
    return 0 if all_complete else 1


def _serve(cluster: Cluster, collector: Collector) -> bool:
    """Send two model requests and a plain one; return whether all were answered."""
    urgent = {"prompt": PROMPT, "max_tokens": 8, "priority": "urgent"}
    summary = {"prompt": PROMPT, "max_tokens": 24}
    confirmation = {"shift": 7, "repeatable": False}
    streamed = [
        _stream(cluster, "entry-1", urgent),
        _stream(cluster, "entry-2", summary),
    ]
    say("POST /v1/services/confirmations/requests at entry-3 (a plain service)")
    answer = ask(
        cluster.client_address("entry-3"),
        "confirmations",
        confirmation,
        {"Idempotency-Key": "demo-shift-7"},
    )
    print(f"  {answer.status} {answer.body.decode(errors='replace').strip()}")
    say("The spans of the two model requests")
    _print_spans(collector, len(streamed))
    return all(streamed) and answer.status == 200


def _stream(cluster: Cluster, host_id: str, message: Mapping[str, object]) -> bool:
    """Print a streamed answer by token; return whether its end event arrived."""
    say(
        f"POST /v1/services/summaries/requests at {host_id}: {_without_prompt(message)}"
    )
    call = OpenCall(cluster.client_address(host_id), "summaries", message)
    started = time.monotonic()
    first_token_ms = 0.0
    print("  ", end="")
    try:
        for event in call.events():
            if event.name == "token":
                first_token_ms = first_token_ms or _milliseconds_since(started)
                print(event.fields["token"], end="", flush=True)
                continue
            print()
            print(f"  {event.name}: {event.fields}")
            print(f"  first token after {first_token_ms:.0f} ms")
            return event.name == "end"
    finally:
        call.close()
    print("\n  the stream was cut")
    return False


def _print_spans(collector: Collector, request_count: int) -> None:
    def decoded() -> bool:
        spans = [collector.spans(name) for name in HOPS]
        return min(len(found) for found in spans) >= request_count

    wait_until(decoded, f"the spans of {request_count} requests")
    for request in collector.spans("request"):
        if request.attributes.get("service") == "summaries":
            _print_trace(request, (s for name in HOPS for s in collector.spans(name)))


def _print_trace(request: ReceivedSpan, spans: Iterable[ReceivedSpan]) -> None:
    print(f"  trace {request.trace_id}")
    trace_spans = [span for span in spans if span.trace_id == request.trace_id]
    for span in sorted(trace_spans, key=lambda item: item.start_ns):
        after = (span.start_ns - request.start_ns) / 1e6
        duration = (span.end_ns - span.start_ns) / 1e6
        endpoint = span.attributes.get("endpoint", "")
        print(
            f"    {span.name:<9} begins {after:7.1f} ms, lasts {duration:7.1f} ms"
            f"  {endpoint}".rstrip()
        )


def say(text: str) -> None:
    """Print a step of the demo."""
    print(f"== {text}", flush=True)


def _without_prompt(message: Mapping[str, object]) -> dict[str, object]:
    return {key: value for key, value in message.items() if key != "prompt"}


def _milliseconds_since(started: float) -> float:
    return (time.monotonic() - started) * 1000


if __name__ == "__main__":
    sys.exit(main())
