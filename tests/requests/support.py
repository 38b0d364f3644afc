"""Shared helpers of the failure tests for serving requests."""

from __future__ import annotations

from collections.abc import Callable, Iterator, Mapping
from concurrent.futures import Future, ThreadPoolExecutor
from typing import Any, TypeVar

from tests.fakes._records import answer_text
from tests.fakes.client import ClientAnswer, OpenCall, StreamEvent
from tests.fakes.cluster import Cluster, Setting
from tests.fakes.processes import wait_until
from tests.fakes.scenarios import DECLARATION

PROMPT = "the stop at fifth and main is closed today"
DECODE_GATE_TOKENS = 3
PHASES = ("prefill", "transfer", "decode")
SERVICE = "summaries"

WAIT_SECONDS = 12.0
# The timeouts are long enough that a request held at a gate is neither refused nor
# treated as a silent stream.
LONG_TIMEOUT_DECLARATION = DECLARATION.replace(
    'name = "everything-else"',
    """name = "everything-else"
[rule.then]
first_token_ms = 600000
wait_ms = 60000
between_tokens_ms = 15000
""",
)
GATES = (*PHASES, "before", "after")
NO_FAULTS: Mapping[str, Setting] = {
    "ignore_cancel": 0,
    "fail_next_prefill": 0,
    "fail_next_import": 0,
    "fail_next_decode": 0,
    "crossed_replies": 0,
    "late_replies": 0,
    "truncate_next_decode": 0,
    "truncate_next_export": 0,
    "refuse_next": 0,
    "slow_factor": 1.0,
}

T = TypeVar("T")

_executor = ThreadPoolExecutor(max_workers=64)


def in_background(function: Callable[..., T], *arguments: Any) -> Future[T]:
    """Run the function in a thread and return its future."""
    return _executor.submit(function, *arguments)


def model_message(tokens: int = 8, **fields: Any) -> dict[str, Any]:
    """Return a request for this many tokens."""
    return {"prompt": PROMPT, "max_tokens": tokens, **fields}


def expected_text(tokens: int = 8) -> str:
    """Return the expected answer to `model_message`."""
    return answer_text(PROMPT, tokens)


def open_call(
    cluster: Cluster,
    entry_id: str,
    name: str,
    message: Mapping[str, Any] | None = None,
    service: str = SERVICE,
    key: str = "",
) -> OpenCall:
    """Send a request whose id starts with the name."""
    headers = {"X-Request-Id": name}
    if key:
        headers["Idempotency-Key"] = key
    address = cluster.client_address(entry_id)
    return OpenCall(address, service, message or model_message(), headers)


def engines(cluster: Cluster, role: str = "") -> list[str]:
    """Return the ids of the running endpoints whose id starts with the role."""
    return [
        spec.endpoint_id
        for spec in cluster.spec.endpoints
        if spec.endpoint_id.startswith(role)
        and cluster.process_by_name[spec.endpoint_id].running
    ]


def pause(cluster: Cluster, phase: str) -> None:
    """Hold requests that reach the phase; decodes are held after a few tokens."""
    role = "prefill" if phase == "prefill" else "decode"
    for name in engines(cluster, role):
        faults = {"pause_phase": phase}
        if phase == "decode":
            faults["after_tokens"] = str(DECODE_GATE_TOKENS)
        cluster.set_faults(name, **faults)


def resume(cluster: Cluster, phase: str) -> None:
    """Let the requests of a paused phase continue."""
    role = "prefill" if phase == "prefill" else "decode"
    for name in engines(cluster, role):
        cluster.set_faults(name, resume_phase=phase)


def held_phases(cluster: Cluster, name: str) -> list[str]:
    """Return the phases in which engines hold the named request."""
    return [
        item["phase"]
        for engine in engines(cluster)
        for item in cluster.held(engine)
        if item["request_id"].startswith(f"{name}.")
    ]


def wait_in_phase(cluster: Cluster, name: str, phase: str) -> None:
    """Wait until an engine holds the named request in the phase."""
    what = f"{name} is in {phase}"
    wait_until(lambda: phase in held_phases(cluster, name), what, WAIT_SECONDS)


def wait_held(cluster: Cluster, name: str) -> None:
    """Wait until an engine holds something for the named request."""
    wait_until(lambda: held_phases(cluster, name), f"{name} is held", WAIT_SECONDS)


def wait_not_held(cluster: Cluster, name: str, timeout: float = WAIT_SECONDS) -> None:
    """Wait until no engine holds anything for the named request."""
    what = f"nothing is held for {name}"
    wait_until(lambda: not held_phases(cluster, name), what, timeout)


def read_tokens(events: Iterator[StreamEvent], count: int) -> list[str]:
    """Read the given number of tokens of a stream."""
    return [next(events).fields["token"] for _ in range(count)]


def runs_named(cluster: Cluster, endpoint_id: str, name: str) -> list[dict]:
    """Return the runs of the named request that an endpoint recorded."""
    runs = cluster.endpoint_call(endpoint_id, "GET", "/v1/records")["runs"]
    return [run for run in runs if run["request_id"].startswith(f"{name}.")]


def assert_complete(answer: ClientAnswer, tokens: int = 8) -> None:
    """Check that the answer equals that of an undisturbed run, byte for byte."""
    assert answer.complete, answer
    assert answer.text == expected_text(tokens)


def heal(cluster: Cluster) -> None:
    """Clear all faults, restart killed processes, and wait until nothing is held."""
    for proxy in cluster.proxy_by_hop.values():
        proxy.heal()
    for host_id in cluster.entry_ids:
        if not cluster.process_by_name[host_id].running:
            cluster.start_entry(host_id)
    for spec in cluster.spec.endpoints:
        if not cluster.process_by_name[spec.endpoint_id].running:
            cluster.start_endpoint(spec).wait_ready()
        cluster.set_faults(spec.endpoint_id, **NO_FAULTS)
        for phase in GATES:
            cluster.set_faults(spec.endpoint_id, resume_phase=phase)
    for host_id in cluster.entry_ids:
        cluster.wait_entry_ready(host_id)
    cluster.wait_endpoints_usable()
    cluster.wait_nothing_held()
