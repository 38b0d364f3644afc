"""The metrics of a control host, listed in docs/reference/metrics.md."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable

from opentelemetry import metrics
from opentelemetry.metrics import CallbackOptions, Observation

from jujubeslip.control._replica import Replica
from jujubeslip.discovery import EndpointRegistry
from jujubeslip.quarantine import CrashRegistry
from jujubeslip.telemetry import gauge_callback


def observe_replica(
    replica: Replica, registry: EndpointRegistry, crash_registry: CrashRegistry
) -> None:
    """Register gauges of the replica's state, which are read with the metrics."""
    meter = metrics.get_meter("jujubeslip.control")
    meter.create_observable_gauge(
        "jujubeslip.control.leads",
        [gauge_callback(lambda: int(replica.fence() is not None))],
        description="1 while this replica leads and its lease is valid, else 0.",
    )
    meter.create_observable_gauge(
        "jujubeslip.control.term",
        [gauge_callback(lambda: replica.term)],
        description="Term of the replicated log, one for each leader.",
    )
    meter.create_observable_gauge(
        "jujubeslip.control.commit_index",
        [gauge_callback(lambda: replica.commit_index)],
        description="Entries of the log that a majority has synced.",
    )
    meter.create_observable_gauge(
        "jujubeslip.control.configuration_version",
        [gauge_callback(lambda: replica.machine.configurations.current.revision)],
        description="Version of the configuration that is applied here.",
    )
    meter.create_observable_gauge(
        "jujubeslip.control.failed",
        [gauge_callback(lambda: int(bool(replica.failure)))],
        description="1 once a write has failed and nothing is promised any more.",
    )

    meter.create_observable_gauge(
        "jujubeslip.control.quarantined_contents",
        [gauge_callback(lambda: crash_registry.count_quarantined(is_part=False))],
        description="Contents of requests that are held back, as they crash endpoints.",
    )
    meter.create_observable_gauge(
        "jujubeslip.control.quarantined_parts",
        [gauge_callback(lambda: crash_registry.count_quarantined(is_part=True))],
        description="Parts of prompts that are held back, as they crash endpoints.",
    )

    def endpoints(_: CallbackOptions) -> Iterable[Observation]:
        known = Counter(
            (
                item.service_name,
                item.role.name.lower(),
                str(not item.accepts_work).lower(),
            )
            for item in registry.endpoints()
        )
        return [
            Observation(count, {"service": name, "role": role, "leaving": leaving})
            for (name, role, leaving), count in known.items()
        ]

    meter.create_observable_gauge(
        "jujubeslip.control.endpoints",
        [endpoints],
        description="Endpoints that are known, by service, role and leaving.",
    )
