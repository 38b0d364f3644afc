"""The capacity of a service, computed from the stand-ins' parameters.

Load 1.0 is the arrival rate that fully uses the scarcest of the service's three
resources:

- prefill: the mean number of computed tokens of a request, at the engines' rate.
  Tokens of the class's template count as cached, those of a recurring family as
  computed.
- decode: the mean time in a decode slot, which is the transfer on an idle link and
  then one token per step of an engine with all slots busy.
- link: the mean number of bytes of a transfer, at the rate of the prefill engines'
  links.
"""

from __future__ import annotations

from dataclasses import dataclass

from bench._scenarios import EnginePool, RequestClass, Scenario


@dataclass(frozen=True)
class Capacity:
    """Requests per second that each resource of a service can serve."""

    prefill: float
    decode: float
    link: float

    @property
    def requests_per_second(self) -> float:
        """Return the capacity of the scarcest resource."""
        return min(self.prefill, self.decode, self.link)


def pool_capacity(pool: EnginePool, classes: tuple[RequestClass, ...]) -> Capacity:
    """Return the capacity of a pool for a mix of classes whose shares sum to 1."""
    prefill = sum(item.share * _prefill_seconds(pool, item) for item in classes)
    decode = sum(item.share * _slot_seconds(pool, item) for item in classes)
    link = sum(item.share * _transfer_seconds(pool, item) for item in classes)
    return Capacity(
        prefill=len(pool.prefill_zones) / prefill,
        decode=len(pool.decode_zones) * pool.slots / decode,
        link=len(pool.prefill_zones) / link,
    )


def _prefill_seconds(pool: EnginePool, item: RequestClass) -> float:
    computed = item.prompt.mean - item.template_tokens
    return computed / pool.prefill_tokens_per_second


def _transfer_seconds(pool: EnginePool, item: RequestClass) -> float:
    size = item.prompt.mean * pool.kv_bytes_per_token
    return size / pool.link_bytes_per_second


def _slot_seconds(pool: EnginePool, item: RequestClass) -> float:
    return _transfer_seconds(pool, item) + item.output.mean * pool.full_step_seconds


def class_rates(scenario: Scenario, load: float) -> dict[str, float]:
    """Return the arrivals per second of each class at a load factor."""
    rate_by_service = {
        pool.service: pool_capacity(
            pool, classes_of(scenario, pool.service)
        ).requests_per_second
        for pool in scenario.engine_pools
    }
    for plain in scenario.plain_pools:
        rate_by_service[plain.service] = plain.requests_per_second
    return {
        item.name: load * rate_by_service[item.service] * item.share
        for item in scenario.classes
    }


def classes_of(scenario: Scenario, service: str) -> tuple[RequestClass, ...]:
    """Return the classes that call a service."""
    return tuple(item for item in scenario.classes if item.service == service)
