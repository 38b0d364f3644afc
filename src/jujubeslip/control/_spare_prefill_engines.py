"""Decides whether a service keeps a spare prefill engine.

The model uses no clock, thread or engine. It covers services with few engines, some of
which fail, and bursts of requests. A second prefill engine takes over if the first one
fails; used for decode instead, it serves a third to a half more until then.
"""

from __future__ import annotations

from dataclasses import dataclass

# Prefill engines to keep where the spare one costs no served requests.
PREFILL_ENGINES_WITH_SPARE = 2
# Cost of prefill on a decode engine, relative to a prefill engine: it runs at half the
# speed, and all decodes of that engine stall meanwhile.
DECODE_ENGINE_PREFILL_COST = 4.0
# Share of the time for which a prefill engine is expected to be unavailable.
UNAVAILABLE_SHARE = 0.1
# How many times as much must be served without the spare engine while decode memory
# suffices: the change itself takes seconds, and with one prefill engine prompts queue
# in a burst.
MINIMUM_GAIN = 1.3


@dataclass(frozen=True)
class CapacityModel:
    """The load that the engines of one service can serve."""

    engine_count: int
    prefill_share: float
    """Share of engines that requests need for prefill, above 0."""

    def served_load(self, prefill_engines: int) -> float:
        """Return the load that is served, in fully busy prefill engines.

        Prompts beyond the capacity of the prefill engines run on the decode engines,
        whose decodes stall meanwhile.
        """
        decode_per_prefill = (1 - self.prefill_share) / self.prefill_share
        shared_load = (self.engine_count + prefill_engines) / (
            decode_per_prefill + DECODE_ENGINE_PREFILL_COST
        )
        if not decode_per_prefill:
            return max(prefill_engines, shared_load)
        decoded_load = max(0, self.engine_count - prefill_engines) / decode_per_prefill
        return min(decoded_load, max(prefill_engines, shared_load))

    def after_loss(self) -> CapacityModel:
        """Return the model with one engine less."""
        return CapacityModel(self.engine_count - 1, self.prefill_share)


def minimum_prefill_engines(
    model: CapacityModel, peak_load: float, lacks_memory: bool
) -> int:
    """Return how many prefill engines to keep at any load.

    `peak_load` is the expected load, in fully busy prefill engines. The result is 1
    where the spare engine would serve more as a decode engine, even with the time in
    which the only prefill engine is unavailable.
    """
    load_with_spare = _expected(model, PREFILL_ENGINES_WITH_SPARE, peak_load)
    gain = 1.0 if lacks_memory else MINIMUM_GAIN
    return (
        1
        if _expected(model, 1, peak_load) > gain * load_with_spare
        else PREFILL_ENGINES_WITH_SPARE
    )


def _expected(model: CapacityModel, prefill_engines: int, peak_load: float) -> float:
    """Return the mean load served when prefill engines are unavailable at times."""
    unavailable = min(1.0, prefill_engines * UNAVAILABLE_SHARE)
    load_without_failure = min(peak_load, model.served_load(prefill_engines))
    load_after_failure = min(
        peak_load, model.after_loss().served_load(prefill_engines - 1)
    )
    return (1 - unavailable) * load_without_failure + unavailable * load_after_failure
