"""Builds the cluster of a run: hosts and stand-in endpoints on loopback."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import asdict, dataclass
from pathlib import Path

from bench._scenarios import MODEL, EnginePool, RequestClass, Scenario
from tests.fakes.cluster import Cluster, ClusterSpec, EngineSpec, PlainSpec, hash_of_key

ENGINE_OPTIONS = (
    "slots",
    "prefill_tokens_per_second",
    "decode_ms_per_token",
    "decode_ms_per_token_per_busy_slot",
    "kv_bytes_per_token",
    "link_bytes_per_second",
    "held_tokens_limit",
    "cache_tokens",
)


def build_cluster(
    scenario: Scenario,
    policy: str,
    folder: Path,
    *,
    faults: bool = False,
    entry_options: Mapping[str, str | int | float | bool] | None = None,
) -> Cluster:
    """Return the cluster of a scenario, with a proxy on the link that faults cut."""
    endpoints: tuple[EngineSpec | PlainSpec, ...] = _engines(scenario)
    endpoints += _plain_services(scenario)
    spec = ClusterSpec(
        declaration=declaration_of(scenario),
        endpoints=endpoints,
        entry_zones=scenario.entry_zones,
        control_zones=scenario.entry_zones,
        region=scenario.region,
        entry_options={"policy": policy, **(entry_options or {})},
        telemetry={"log_level": "WARNING"},
        hops=frozenset({("*", isolated_prefill_engine(scenario))})
        if faults
        else frozenset(),
    )
    return Cluster(spec, folder)


def isolated_prefill_engine(scenario: Scenario) -> str:
    """Return the prefill engine whose link is cut in a run with faults."""
    return _engine_ids(_main_pool(scenario), "prefill")[0]


def killed_decode_engine(scenario: Scenario) -> str:
    """Return the decode engine that is killed in a run with faults."""
    return _engine_ids(_main_pool(scenario), "decode")[0]


def _main_pool(scenario: Scenario) -> EnginePool:
    return max(scenario.engine_pools, key=lambda pool: len(pool.decode_zones))


def _engine_ids(pool: EnginePool, role: str) -> tuple[str, ...]:
    zones = pool.prefill_zones if role == "prefill" else pool.decode_zones
    return tuple(f"{pool.service}-{role}-{number + 1}" for number in range(len(zones)))


def _engines(scenario: Scenario) -> tuple[EngineSpec, ...]:
    engines = []
    for pool in scenario.engine_pools:
        values = asdict(pool)
        options = {name: values[name] for name in ENGINE_OPTIONS}
        options |= scenario.engine_options
        for role in ("prefill", "decode"):
            zones = pool.prefill_zones if role == "prefill" else pool.decode_zones
            for endpoint_id, zone in zip(_engine_ids(pool, role), zones, strict=True):
                engines.append(
                    EngineSpec(endpoint_id, pool.service, role, zone, MODEL, options)
                )
    return tuple(engines)


def _plain_services(scenario: Scenario) -> tuple[PlainSpec, ...]:
    return tuple(
        PlainSpec(
            f"{pool.service}-{number + 1}", pool.service, zone, {"run_ms": pool.run_ms}
        )
        for pool in scenario.plain_pools
        for number, zone in enumerate(pool.zones)
    )


def client_key_of(item: RequestClass) -> str:
    """Return the client key of the requests of a class."""
    return f"bench-key-of-{item.name}"


@dataclass(frozen=True)
class _Table:
    """A table of a TOML array of tables."""

    name: str
    lines: tuple[str, ...]

    def __str__(self) -> str:
        return "\n".join([f"[[{self.name}]]", *self.lines, ""])


def declaration_of(scenario: Scenario) -> str:
    """Return the declaration, with a client account and a rule for each class."""
    tables = [_model_service(pool) for pool in scenario.engine_pools]
    tables += [_plain_service(pool.service) for pool in scenario.plain_pools]
    tables += [_client(item) for item in scenario.classes]
    tables += [_rule(item) for item in scenario.classes]
    return "\n".join(str(table) for table in tables)


def _model_service(pool: EnginePool) -> _Table:
    lines = (f'name = "{pool.service}"', 'kind = "model"', f'model = "{MODEL}"')
    return _Table("service", lines)


def _plain_service(name: str) -> _Table:
    return _Table("service", (f'name = "{name}"', 'kind = "plain"'))


def _client(item: RequestClass) -> _Table:
    key_hash = hash_of_key(client_key_of(item))
    return _Table("client", (f'name = "{item.name}"', f'key_sha256 = ["{key_hash}"]'))


def _rule(item: RequestClass) -> _Table:
    when = f'{{ service = "{item.service}", client = "{item.name}" }}'
    then = (
        f'{{ priority = "{item.priority}", first_token_ms = {item.first_token_ms}, '
        f"between_tokens_ms = {item.between_tokens_ms}, wait_ms = {item.wait_ms} }}"
    )
    return _Table("rule", (f'name = "{item.name}"', f"when = {when}", f"then = {then}"))
