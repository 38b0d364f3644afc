"""Two example deployments, scaled down so that Python is not the bottleneck.

Engines are slow and prompts are small, so that the whole system serves a few tens of
requests per second at capacity. The workers of a service are split into prefill and
decode engines, and a decode engine has few slots. The one-way network delays between
sites are not emulated.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field

MODEL = "model-a"


@dataclass(frozen=True)
class TokenRange:
    """A uniform range of token counts, both ends included."""

    low: int
    high: int

    @property
    def mean(self) -> float:
        """Return the mean token count."""
        return (self.low + self.high) / 2


@dataclass(frozen=True)
class Burst:
    """A share of arrivals, moved into the first `width` seconds of each `period`."""

    share: float
    period: float
    width: float


@dataclass(frozen=True)
class RequestClass:
    """A class of requests with the same service, targets and prompt structure.

    `share` is its share of the service's arrivals. Targets and timeouts are in
    milliseconds. A caller closes the connection when no first token arrives within
    `client_timeout_ms`. Every prompt of the class begins with the same
    `template_tokens` tokens, and the first `family_share` of the remaining tokens is
    one of `families` recurring texts.
    """

    name: str
    service: str
    priority: str
    share: float
    prompt: TokenRange
    output: TokenRange
    first_token_ms: int
    between_tokens_ms: int
    wait_ms: int
    client_timeout_ms: int
    template_tokens: int = 0
    families: int = 0
    family_share: float = 0.0
    burst: Burst | None = None
    repeatable: bool = True
    long_answer: bool = False


@dataclass(frozen=True)
class EnginePool:
    """The engines of one service and their parameters, in the stand-ins' units."""

    service: str
    prefill_zones: tuple[str, ...]
    decode_zones: tuple[str, ...]
    slots: int
    prefill_tokens_per_second: float
    decode_ms_per_token: float
    decode_ms_per_token_per_busy_slot: float
    kv_bytes_per_token: int
    link_bytes_per_second: float
    held_tokens_limit: int
    cache_tokens: int

    @property
    def full_step_seconds(self) -> float:
        """Return the time per token when all slots are busy."""
        busy = self.slots * self.decode_ms_per_token_per_busy_slot
        return (self.decode_ms_per_token + busy) / 1000


@dataclass(frozen=True)
class PlainPool:
    """The endpoints of a plain service, and its `requests_per_second` at load 1.0."""

    service: str
    zones: tuple[str, ...]
    run_ms: float
    requests_per_second: float


@dataclass(frozen=True)
class Scenario:
    """A deployment and the classes of requests that it serves."""

    name: str
    region: str
    entry_zones: tuple[str, ...]
    engine_pools: tuple[EnginePool, ...]
    classes: tuple[RequestClass, ...]
    plain_pools: tuple[PlainPool, ...] = ()
    engine_options: Mapping[str, float] = field(
        default_factory=lambda: {
            "load_lag_ms": 400,
            "event_lag_ms": 500,
            "event_loss": 0.05,
        }
    )

    @property
    def class_by_name(self) -> dict[str, RequestClass]:
        """Return the request classes by name."""
        return {item.name: item for item in self.classes}


def northvane() -> Scenario:
    """Return the scenario of Northvane Transit Displays.

    bulletin-llm has 2 prefill and 3 decode engines, board-feed 1 and 2. The boards
    poll each minute, which is scaled down to 10 seconds.
    """
    regina, saskatoon, calgary = "regina-hall", "saskatoon-hall", "calgary-hall"
    return Scenario(
        name="northvane",
        region="prairie-west",
        entry_zones=(regina, saskatoon, calgary),
        engine_pools=(
            EnginePool(
                service="board-feed",
                prefill_zones=(regina,),
                decode_zones=(saskatoon, calgary),
                slots=4,
                prefill_tokens_per_second=3000,
                decode_ms_per_token=15,
                decode_ms_per_token_per_busy_slot=1.25,
                kv_bytes_per_token=64,
                link_bytes_per_second=4_000_000,
                held_tokens_limit=3000,
                cache_tokens=6400,
            ),
            EnginePool(
                service="bulletin-llm",
                prefill_zones=(regina, saskatoon),
                decode_zones=(regina, saskatoon, calgary),
                slots=4,
                prefill_tokens_per_second=6000,
                decode_ms_per_token=15,
                decode_ms_per_token_per_busy_slot=1.25,
                kv_bytes_per_token=64,
                link_bytes_per_second=2_000_000,
                held_tokens_limit=16_000,
                cache_tokens=32_000,
            ),
        ),
        classes=(
            RequestClass(
                name="board-poll",
                service="board-feed",
                priority="urgent",
                share=0.85,
                prompt=TokenRange(160, 256),
                output=TokenRange(20, 40),
                first_token_ms=1000,
                between_tokens_ms=80,
                wait_ms=1000,
                client_timeout_ms=4000,
                template_tokens=128,
                burst=Burst(share=0.2, period=10.0, width=1.0),
            ),
            RequestClass(
                name="board-preview",
                service="board-feed",
                priority="bulk",
                share=0.15,
                prompt=TokenRange(256, 512),
                output=TokenRange(80, 120),
                first_token_ms=8000,
                between_tokens_ms=150,
                wait_ms=8000,
                client_timeout_ms=20_000,
                template_tokens=128,
            ),
            RequestClass(
                name="detour-line",
                service="bulletin-llm",
                priority="urgent",
                share=0.6,
                prompt=TokenRange(256, 512),
                output=TokenRange(30, 50),
                first_token_ms=1500,
                between_tokens_ms=80,
                wait_ms=1500,
                client_timeout_ms=5000,
                template_tokens=192,
            ),
            RequestClass(
                name="bulletin",
                service="bulletin-llm",
                priority="standard",
                share=0.4,
                prompt=TokenRange(2000, 6000),
                output=TokenRange(180, 300),
                first_token_ms=10_000,
                between_tokens_ms=150,
                wait_ms=10_000,
                client_timeout_ms=25_000,
                template_tokens=192,
                families=12,
                family_share=0.5,
                long_answer=True,
            ),
        ),
    )


def glanmor() -> Scenario:
    """Return the scenario of Glanmor Clean Franchise Office.

    rota-llm has 2 prefill and 3 decode engines on congested links, rota-desk 1 and 3.
    Shift confirmations go to a plain service with 2 endpoints.
    """
    caerdydd, abertawe, wrecsam = "caerdydd", "abertawe", "wrecsam"
    aberystwyth = "aberystwyth"
    return Scenario(
        name="glanmor",
        region="cymru",
        entry_zones=(caerdydd, abertawe, wrecsam),
        engine_pools=(
            EnginePool(
                service="rota-llm",
                prefill_zones=(caerdydd, abertawe),
                decode_zones=(caerdydd, abertawe, wrecsam),
                slots=4,
                prefill_tokens_per_second=20_000,
                decode_ms_per_token=15,
                decode_ms_per_token_per_busy_slot=1.25,
                kv_bytes_per_token=64,
                link_bytes_per_second=900_000,
                held_tokens_limit=60_000,
                cache_tokens=120_000,
            ),
            EnginePool(
                service="rota-desk",
                prefill_zones=(wrecsam,),
                decode_zones=(caerdydd, abertawe, aberystwyth),
                slots=3,
                prefill_tokens_per_second=6000,
                decode_ms_per_token=15,
                decode_ms_per_token_per_busy_slot=1.25,
                kv_bytes_per_token=64,
                link_bytes_per_second=2_000_000,
                held_tokens_limit=6000,
                cache_tokens=12_000,
            ),
        ),
        plain_pools=(
            PlainPool(
                service="shift-book",
                zones=(caerdydd, wrecsam),
                run_ms=20,
                requests_per_second=2.0,
            ),
        ),
        classes=(
            RequestClass(
                name="contract-summary",
                service="rota-llm",
                priority="bulk",
                share=0.3,
                prompt=TokenRange(4000, 30_000),
                output=TokenRange(200, 360),
                first_token_ms=20_000,
                between_tokens_ms=200,
                wait_ms=20_000,
                client_timeout_ms=40_000,
                template_tokens=256,
                families=8,
                family_share=0.6,
                long_answer=True,
            ),
            RequestClass(
                name="shift-cover",
                service="rota-llm",
                priority="urgent",
                share=0.7,
                prompt=TokenRange(600, 1500),
                output=TokenRange(50, 90),
                first_token_ms=2500,
                between_tokens_ms=100,
                wait_ms=2500,
                client_timeout_ms=8000,
                template_tokens=256,
            ),
            RequestClass(
                name="check-in",
                service="rota-desk",
                priority="urgent",
                share=0.8,
                prompt=TokenRange(96, 192),
                output=TokenRange(12, 24),
                first_token_ms=800,
                between_tokens_ms=80,
                wait_ms=800,
                client_timeout_ms=4000,
                template_tokens=64,
                burst=Burst(share=0.2, period=10.0, width=1.5),
            ),
            RequestClass(
                name="rota-notice",
                service="rota-desk",
                priority="standard",
                share=0.2,
                prompt=TokenRange(300, 900),
                output=TokenRange(80, 140),
                first_token_ms=6000,
                between_tokens_ms=150,
                wait_ms=6000,
                client_timeout_ms=20_000,
                template_tokens=128,
            ),
            RequestClass(
                name="shift-confirmation",
                service="shift-book",
                priority="standard",
                share=1.0,
                prompt=TokenRange(8, 16),
                output=TokenRange(1, 1),
                first_token_ms=3000,
                between_tokens_ms=1000,
                wait_ms=3000,
                client_timeout_ms=10_000,
                repeatable=False,
            ),
        ),
    )


SCENARIOS = {"northvane": northvane, "glanmor": glanmor}
