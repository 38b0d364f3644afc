"""The metrics of a control host; docs/reference/metrics.md lists them."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable

from opentelemetry import metrics
from opentelemetry.metrics import CallbackOptions, Observation

from jujubeslip.control._replica import Replica
from jujubeslip.discovery import EndpointBook
from jujubeslip.quarantine import CrashBook
from jujubeslip.telemetry import observed


def observe_replica(
    replica: Replica, book: EndpointBook, crash_book: CrashBook
) -> None:
    """Offer the replica's state as gauges, read whenever the metrics are."""
    meter = metrics.get_meter("jujubeslip.control")
    meter.create_observable_gauge(
        "jujubeslip.control.leads",
        [observed(lambda: int(replica.fence() is not None))],
        description="1 while this replica leads and its lease is valid, else 0.",
    )
    meter.create_observable_gauge(
        "jujubeslip.control.term",
        [observed(lambda: replica.term)],
        description="Term of the replicated log, one for each leader.",
    )
    meter.create_observable_gauge(
        "jujubeslip.control.commit_index",
        [observed(lambda: replica.commit_index)],
        description="Entries of the log that a majority has synced.",
    )
    meter.create_observable_gauge(
        "jujubeslip.control.configuration_version",
        [observed(lambda: replica.machine.configurations.current.revision)],
        description="Version of the configuration that is applied here.",
    )
    meter.create_observable_gauge(
        "jujubeslip.control.failed",
        [observed(lambda: int(bool(replica.failure)))],
        description="1 once a write has failed and nothing is promised any more.",
    )

    meter.create_observable_gauge(
        "jujubeslip.control.quarantined_contents",
        [observed(lambda: len(crash_book.held_back()))],
        description="Contents of requests that are held back, as they crash endpoints.",
    )

    def endpoints(_: CallbackOptions) -> Iterable[Observation]:
        known = Counter(
            (item.service_name, item.role.name.lower(), str(not item.stays).lower())
            for item in book.endpoints()
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
