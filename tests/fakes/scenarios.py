"""Specifications of small systems that several tests start."""

from __future__ import annotations

from collections.abc import Mapping

from tests.fakes.cluster import (
    ClusterSpec,
    EngineSpec,
    Hop,
    PlainSpec,
    Setting,
    hash_of_key,
)

DECLARATION = f"""
[[service]]
name = "summaries"
model = "model"

[[service]]
name = "confirmations"
kind = "plain"
path = "/run"

[[rule]]
name = "board-lines-first"
when = {{ priority = "urgent" }}
then = {{ priority = "urgent", first_token_ms = 10000, wait_ms = 10000 }}

[[rule]]
name = "everything-else"

[[client]]
name = "northvane"
key_sha256 = ["{hash_of_key()}"]
"""

FAST: Mapping[str, Setting] = {"decode-ms-per-token": 2}


def model_endpoints(
    prefills: int = 1, decodes: int = 2, options: Mapping[str, Setting] = FAST
) -> tuple[EngineSpec, ...]:
    """Return engines of the service `summaries`."""
    return (
        *(
            EngineSpec(f"prefill-{number}", "summaries", "prefill", options=options)
            for number in range(1, prefills + 1)
        ),
        *(
            EngineSpec(f"decode-{number}", "summaries", "decode", options=options)
            for number in range(1, decodes + 1)
        ),
    )


def small_system(
    endpoints: tuple[EngineSpec | PlainSpec, ...] | None = None,
    entries: int = 2,
    controls: int = 1,
    hops: frozenset[Hop] = frozenset(),
    declaration: str = DECLARATION,
    telemetry: Mapping[str, Setting] | None = None,
    entry_options: Mapping[str, Setting] | None = None,
) -> ClusterSpec:
    """Return a system in one availability zone."""
    if endpoints is None:
        plain = PlainSpec("plain-1", "confirmations")
        endpoints = (*model_endpoints(), plain)
    return ClusterSpec(
        declaration,
        endpoints,
        entry_zones=("zone-1",) * entries,
        control_zones=("zone-1",) * controls,
        hops=hops,
        telemetry=telemetry or {},
        entry_options=entry_options or {},
    )
