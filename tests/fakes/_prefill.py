"""Prefill of the stand-in engine: a serial queue, held KV caches, a prefix cache."""

from __future__ import annotations

import heapq
import itertools
import json
import random
import threading
import time
import uuid
from collections import Counter, OrderedDict, deque
from collections.abc import Generator
from dataclasses import dataclass, replace

from tests.fakes._faults import Faults
from tests.fakes._records import (
    BLOCK_TOKENS,
    Call,
    HeldMemory,
    RefusalError,
    RunRecords,
    block_hashes,
)

MAXIMUM_EVENTS = 50_000
CHUNKS_PER_SECOND = 50

Chunks = Generator[bytes, None, None]


@dataclass(frozen=True)
class PrefillSpeed:
    """The speed of prefill and of the export link, and the limits of memory."""

    tokens_per_second: float
    kv_bytes_per_token: int
    link_bytes_per_second: float
    held_tokens_limit: int
    cache_tokens: int


@dataclass(frozen=True)
class HeldCache:
    """A finished KV cache that waits for its export."""

    kv_id: str
    call: Call
    prompt: str
    prompt_tokens: int
    cached_tokens: int
    computed_tokens: int
    finished_at: float
    exported: bool = False


@dataclass(frozen=True)
class CacheEvent:
    """A cache event and the time at which it is published."""

    number: int
    kind: str
    prefix_hash: str
    tokens: int
    published_at: float


class EventLog:
    """Cache events, published with a delay and with some numbers lost."""

    def __init__(self, lag_ms: float, loss: float, seed: int) -> None:
        self._lag = lag_ms / 1000
        self._loss = loss
        self._random = random.Random(seed)
        self._number = 0
        self._events: deque[CacheEvent] = deque(maxlen=MAXIMUM_EVENTS)

    def add(self, kind: str, prefix_hash: str, tokens: int) -> None:
        """Add an event, or drop it at random; its number is used in both cases."""
        self._number += 1
        if self._random.random() < self._loss:
            return
        published_at = time.monotonic() + self._lag
        event = CacheEvent(self._number, kind, prefix_hash, tokens, published_at)
        self._events.append(event)

    def after(self, number: int) -> dict:
        """Return the published events after the number, as `/v1/events` does."""
        now = time.monotonic()
        events = [
            {
                "number": event.number,
                "kind": event.kind,
                "prefix_hash": event.prefix_hash,
                "tokens": event.tokens,
            }
            for event in tuple(self._events)
            if event.number > number and event.published_at <= now
        ]
        last = events[-1]["number"] if events else number
        return {"events": events, "next": last}


class PrefixCache:
    """Blocks of prompts by the hash of the prefix they complete, in LRU order."""

    def __init__(self, limit_tokens: int, events: EventLog) -> None:
        self._limit_blocks = limit_tokens // BLOCK_TOKENS
        self._events = events
        self._number_by_hash: OrderedDict[str, int] = OrderedDict()

    def cached_tokens(self, prompt: str) -> int:
        """Return the length of the longest cached prefix."""
        cached = 0
        for number, prefix_hash in block_hashes(prompt):
            if prefix_hash not in self._number_by_hash:
                break
            cached = number * BLOCK_TOKENS
        return cached

    def store(self, prompt: str) -> None:
        """Store the prompt's blocks; the last block of a prompt is evicted first."""
        for number, prefix_hash in reversed(list(block_hashes(prompt))):
            if prefix_hash not in self._number_by_hash:
                self._publish("stored", number, prefix_hash)
            self._number_by_hash[prefix_hash] = number
            self._number_by_hash.move_to_end(prefix_hash)
        while len(self._number_by_hash) > self._limit_blocks:
            prefix_hash, number = self._number_by_hash.popitem(last=False)
            self._publish("evicted", number, prefix_hash)

    def _publish(self, kind: str, number: int, prefix_hash: str) -> None:
        if number & (number - 1) == 0:
            self._events.add(kind, prefix_hash, number * BLOCK_TOKENS)


class Link:
    """The bandwidth that all concurrent exports of one engine share."""

    def __init__(self, bytes_per_second: float) -> None:
        self._rate = bytes_per_second
        self._lock = threading.Lock()
        self._free_at = 0.0
        self.chunk_bytes = max(1, int(bytes_per_second / CHUNKS_PER_SECOND))

    def send(self, size: int) -> None:
        """Wait as long as the link needs to send this many bytes after earlier ones."""
        with self._lock:
            now = time.monotonic()
            self._free_at = max(now, self._free_at) + size / self._rate
            wait = self._free_at - now
        time.sleep(wait)


class PrefillJob:
    """One prefill from its arrival until it is computed, failed or cancelled."""

    def __init__(self, call: Call, prompt: str, run: int) -> None:
        self.call = call
        self.prompt = prompt
        self.prompt_tokens = len(prompt.split())
        self.run = run
        self.phase = "queued"
        self.arrived_at = time.monotonic()
        self.finished = threading.Event()
        self.cancelled = False
        self.result: HeldCache | None = None


class PrefillServer:
    """Computes prefills one after another, by priority, then by arrival."""

    def __init__(
        self,
        speed: PrefillSpeed,
        events: EventLog,
        records: RunRecords,
        faults: Faults,
    ) -> None:
        self._speed = speed
        self._records = records
        self._faults = faults
        self._changed = threading.Condition()
        self._order = itertools.count()
        self._queue: list[tuple[int, int, PrefillJob]] = []
        self._jobs: dict[tuple[str, int], PrefillJob] = {}
        self._held_by_kv_id: OrderedDict[str, HeldCache] = OrderedDict()
        self._exports: Counter[str] = Counter()
        self._cache = PrefixCache(speed.cache_tokens, events)
        self._link = Link(speed.link_bytes_per_second)
        threading.Thread(target=self._serve, daemon=True).start()

    def prefill(self, call: Call, prompt: str) -> HeldCache:
        """Compute one prefill and return its held result; raise a refusal otherwise."""
        job = PrefillJob(call, prompt, self._records.start("prefill", call))
        with self._changed:
            self._jobs[call.key] = job
            heapq.heappush(self._queue, (call.priority, next(self._order), job))
            self._changed.notify_all()
        job.finished.wait()
        if job.cancelled:
            raise RefusalError(409, "cancelled")
        if job.result is None:
            raise RefusalError(500, "prefill_failed")
        return job.result

    def _serve(self) -> None:
        while True:
            with self._changed:
                while not self._queue:
                    self._changed.wait()
                job = heapq.heappop(self._queue)[2]
                job.phase = "prefill"
            if not job.cancelled:
                self._compute(job)

    def _compute(self, job: PrefillJob) -> None:
        self._faults.wait_at_gate("prefill", lambda: not job.cancelled)
        with self._changed:
            cached = self._cache.cached_tokens(job.prompt)
        tokens = job.prompt_tokens - cached
        rate = self._speed.tokens_per_second / self._faults.value("slow_factor")
        started = time.monotonic()
        with self._changed:
            self._changed.wait_for(
                lambda: job.cancelled or time.monotonic() >= started + tokens / rate,
                tokens / rate,
            )
            computed = min(tokens, round((time.monotonic() - started) * rate))
            self._finish(job, cached, computed)

    def _finish(self, job: PrefillJob, cached: int, computed: int) -> None:
        self._jobs.pop(job.call.key, None)
        if job.cancelled:
            self._records.finish(job.run, "cancelled", computed_tokens=computed)
        elif self._faults.take("fail_next_prefill"):
            self._records.finish(job.run, "failed", computed_tokens=computed)
        else:
            self._hold(job, cached)
        job.finished.set()

    def _hold(self, job: PrefillJob, cached: int) -> None:
        computed = job.prompt_tokens - cached
        kv_id = uuid.uuid4().hex
        held = HeldCache(
            kv_id,
            job.call,
            job.prompt,
            job.prompt_tokens,
            cached,
            computed,
            time.monotonic(),
        )
        job.result = held
        self._held_by_kv_id[kv_id] = held
        self._cache.store(job.prompt)
        self._evict()
        self._records.finish(job.run, "done", kv_id=kv_id, computed_tokens=computed)

    def _evict(self) -> None:
        """Evict exported results first, then the least recently used.

        The newest result, and results that are being exported, are not evicted.
        """
        while self._held_tokens() > self._speed.held_tokens_limit:
            *older, _ = self._held_by_kv_id.values()
            idle = [item for item in older if not self._exports[item.kv_id]]
            if not idle:
                return
            exported = (item for item in idle if item.exported)
            del self._held_by_kv_id[next(exported, idle[0]).kv_id]

    def _held_tokens(self) -> int:
        return sum(item.prompt_tokens for item in self._held_by_kv_id.values())

    def export(self, kv_id: str) -> tuple[int, Chunks]:
        """Return the size of an export and its chunks, at the link's rate."""
        with self._changed:
            held = self._held_by_kv_id.get(kv_id)
            if held is None:
                raise RefusalError(410, "kv_gone")
            self._held_by_kv_id.move_to_end(kv_id)
        line = {
            "prompt": held.prompt,
            "prompt_tokens": held.prompt_tokens,
            "computed_tokens": held.computed_tokens,
        }
        first = json.dumps(line).encode() + b"\n"
        filler = self._speed.kv_bytes_per_token * held.prompt_tokens
        return len(first) + filler, self._chunks(held, first, filler)

    def _chunks(self, held: HeldCache, first: bytes, filler: int) -> Chunks:
        with self._changed:
            self._exports[held.kv_id] += 1
        try:
            yield first
            yield from self._filler(held, filler)
        finally:
            with self._changed:
                self._exports[held.kv_id] -= 1

    def _filler(self, held: HeldCache, filler: int) -> Chunks:
        truncated = self._faults.take("truncate_next_export")
        self._faults.wait_at_gate("transfer", lambda: self._holds(held))
        for start in range(0, filler, self._link.chunk_bytes):
            if truncated or not self._holds(held):
                return
            size = min(self._link.chunk_bytes, filler - start)
            self._link.send(size)
            yield bytes(size)
        self._mark_exported(held)

    def _holds(self, held: HeldCache) -> bool:
        return held.kv_id in self._held_by_kv_id

    def _mark_exported(self, held: HeldCache) -> None:
        with self._changed:
            if self._holds(held):
                self._held_by_kv_id[held.kv_id] = replace(held, exported=True)

    def cancel(self, call: Call) -> bool:
        """Free all memory and queued work of the attempt; false if there is none."""
        with self._changed:
            job = self._jobs.pop(call.key, None)
            if job is not None:
                self._cancel_job(job)
            kept = [
                item
                for item in self._held_by_kv_id.values()
                if item.call.key == call.key
            ]
            for item in kept:
                del self._held_by_kv_id[item.kv_id]
            self._changed.notify_all()
        return job is not None or bool(kept)

    def _cancel_job(self, job: PrefillJob) -> None:
        job.cancelled = True
        if job.phase == "queued":
            self._queue = [item for item in self._queue if item[2] is not job]
            heapq.heapify(self._queue)
            self._records.finish(job.run, "cancelled")
            job.finished.set()

    def held(self) -> list[HeldMemory]:
        """Return the prefills that are queued, computed or wait for an export."""
        now = time.monotonic()
        with self._changed:
            jobs = [
                _held(job.call, job.phase, job.prompt_tokens, now - job.arrived_at)
                for job in self._jobs.values()
            ]
            results = [
                _held(
                    item.call, "prefilled", item.prompt_tokens, now - item.finished_at
                )
                for item in self._held_by_kv_id.values()
                if not item.exported
            ]
        return jobs + results

    def load(self) -> dict:
        """Return the numbers of queued and running prefills and of held tokens."""
        with self._changed:
            return {
                "queued": len(self._queue),
                "running": len(self._jobs) - len(self._queue),
                "held_tokens": self._held_tokens(),
            }


def _held(call: Call, phase: str, tokens: int, age: float) -> HeldMemory:
    return HeldMemory(
        call.request_id, call.attempt, call.owner, phase, tokens, int(age * 1000)
    )
