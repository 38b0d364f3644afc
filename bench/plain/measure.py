"""Compares ways to choose plain endpoints.

Run it as `python -m bench.plain.measure [SEEDS [LOAD]]`.
"""

from __future__ import annotations

import math
import sys
from dataclasses import replace
from statistics import fmean

from bench.plain.simulation import CAPACITY, ZONES, Load, Simulation, Variant

# Requests a second of 79 hosts, of one zone.
USUAL_RATE = 101 / len(ZONES)
FULL_RATE = CAPACITY / len(ZONES)
WAVE_SECONDS = 17.0
# How long an endpoint is slow at a time, in seconds, and every which time it is.
BRIEF_SECONDS = 0.6
BRIEF_PERIODS = 7
VARIANTS = {
    "least-cost": Variant("least-cost"),
    "least-loaded": Variant("least-loaded"),
    "expected-time, alone": Variant("expected-time", False, True),
    "expected-time, shared": Variant("expected-time", True, True),
    "expected-time, shared, 0.3 s": Variant("expected-time", True),
    "least-cost, spread": Variant("least-cost", spreads_retries=True),
}


def wave(share: float) -> Load:
    """Return a load whose waves reach the zones one after the other."""

    def rate(zone: str, now: float) -> float:
        phase = ZONES.index(zone) / len(ZONES)
        swing = math.sin(2 * math.pi * (now / WAVE_SECONDS - phase))
        return share * FULL_RATE * (1 + 0.5 * swing)

    return Load(rate, seconds=17.0)


def usual(zone: str, now: float) -> float:
    """Return the usual rate of a zone."""
    return USUAL_RATE


def one_slow(factor: float, rate: float = USUAL_RATE) -> Load:
    """Return a load with one endpoint that is slower from second 6 to 12."""
    return Load(
        lambda zone, now: rate,
        slowness=lambda zone, now: (
            factor if zone == ZONES[0] and 6 <= now < 12 else 1.0
        ),
        seconds=15.0,
    )


def burst(now: float, base: float) -> float:
    """Return the rate of a zone in a burst of 1.7 from second 5 to 10."""
    return FULL_RATE * base * (1.7 if 5 <= now < 10 else 1.0)


def step(zone: str, now: float) -> float:
    """Return the rate of a zone if the first has 1.5 times its endpoint's capacity."""
    return FULL_RATE * (1.5 if zone == ZONES[0] and 6 <= now < 12 else 0.4)


def brief(zone: str, now: float) -> float:
    """Return the factor of endpoints of which one is slow for 0.6 s at a time."""
    return 2.5 if int(now / BRIEF_SECONDS) % BRIEF_PERIODS == ZONES.index(zone) else 1.0


def brief_at_once(zone: str, now: float) -> float:
    """Return the factor of endpoints that are slow for 0.6 s at the same time."""
    return 1.0 if int(now / BRIEF_SECONDS) % BRIEF_PERIODS else 2.5


BURST = Load(lambda zone, now: burst(now, 0.75), seconds=12.0)
LOADS = {
    "even": Load(usual),
    "1.5 times in one zone": Load(step),
    "wave, 0.8": wave(0.8),
    "wave, 1.2": wave(1.2),
    "burst 1.7, clients return": BURST,
    "burst 1.7, a fifth abusive": replace(BURST, abusive_share=0.2),
    "burst 1.7, clients with 0.65 s": replace(BURST, client_seconds=0.65),
    "5 times slower for 6 s": one_slow(5.0),
    "5 times slower, load 0.5": one_slow(5.0, 0.5 * FULL_RATE),
    "2.5 times slower for 6 s": one_slow(2.5),
    "2.5 times slower by turns, load 0.5": Load(
        lambda zone, now: 0.5 * FULL_RATE, slowness=brief, seconds=12.0
    ),
    "2.5 times slower at once, load 0.5": Load(
        lambda zone, now: 0.5 * FULL_RATE, slowness=brief_at_once, seconds=12.0
    ),
    "45 % fail for 6 s": Load(
        usual,
        failures=lambda zone, now: 0.45 if zone == ZONES[0] and 6 <= now < 12 else 0.0,
    ),
}


def main() -> None:
    """Print a table of all loads and variants, means over the seeds."""
    seeds = int(sys.argv[1]) if len(sys.argv) > 1 else 3
    chosen = sys.argv[2] if len(sys.argv) > 2 else ""
    columns = "in time | answered | worst zone | worst second | refused | crossed"
    print(f"| load | choice | {columns} |")
    print("|---" * 8 + "|")
    for name, load in LOADS.items():
        if chosen not in name:
            continue
        for label, variant in VARIANTS.items():
            rows = [
                Simulation(load, variant, seed).run().row() for seed in range(seeds)
            ]
            means = " | ".join(
                f"{fmean(column):.3f}" for column in zip(*rows, strict=True)
            )
            print(f"| {name} | {label} | {means} |", flush=True)


if __name__ == "__main__":
    main()
