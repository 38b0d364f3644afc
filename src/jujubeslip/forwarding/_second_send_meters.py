"""The metrics of second sends; docs/reference/metrics.md lists them."""

from __future__ import annotations

from opentelemetry import metrics

from jujubeslip.hedging import KeptBack


class SecondSendMeters:
    """Counts second sends by service, with what became of them."""

    def __init__(self) -> None:
        meter = metrics.get_meter("jujubeslip.forwarding")
        self._sent = meter.create_counter(
            "jujubeslip.forward.second_sends",
            description="Slow requests sent to a second endpoint at the same time.",
        )
        self._ended = meter.create_counter(
            "jujubeslip.forward.second_sends_ended",
            description="Ends of these, by who answered: `first`, `second` or `none`.",
        )
        self._given_up = meter.create_counter(
            "jujubeslip.forward.second_sends_given_up",
            description="Sends given up because the other one was answered first.",
        )
        self._kept_back = meter.create_counter(
            "jujubeslip.forward.second_sends_kept_back",
            description="Slow requests without a second send, by reason.",
        )

    def record_sent(self, service_name: str) -> None:
        """Record a second send."""
        self._sent.add(1, {"service": service_name})

    def record_end(self, service_name: str, answered_by: str, given_up: int) -> None:
        """Record who answered, and how many of the two sends were given up."""
        service = {"service": service_name}
        self._ended.add(1, {**service, "answered_by": answered_by})
        if given_up:
            self._given_up.add(given_up, service)

    def record_kept_back(self, service_name: str, reason: KeptBack) -> None:
        """Record why a slow request was not sent a second time."""
        self._kept_back.add(1, {"service": service_name, "reason": reason.value})
