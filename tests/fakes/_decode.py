"""Decode of the stand-in engine: limited slots, queued imports, a token per step."""

from __future__ import annotations

import heapq
import http.client
import itertools
import json
import socket
import threading
import time
from collections.abc import Callable, Iterator
from dataclasses import dataclass

from tests.fakes._faults import Faults
from tests.fakes._records import (
    AnswerTokens,
    Call,
    HeldMemory,
    RefusalError,
    RunRecords,
)

TRANSFER_TIMEOUT_SECONDS = 30.0
STREAM_POLL_SECONDS = 0.1
READ_BYTES = 65_536


@dataclass(frozen=True)
class DecodeSpeed:
    """The number of slots, and the duration of a step in milliseconds."""

    slots: int
    ms_per_token: float
    ms_per_token_per_busy_slot: float


class Slot:
    """A request that holds a slot of decode memory, or waits for one."""

    def __init__(self, call: Call, kv_id: str, lock: threading.Lock) -> None:
        self.call = call
        self.kv_id = kv_id
        self.phase = "queued"
        self.arrived_at = time.monotonic()
        self.granted = threading.Event()
        self.progressed = threading.Condition(lock)
        self.cancelled = False
        self.imported = False
        self.connection: http.client.HTTPConnection | None = None
        self.prompt = ""
        self.prompt_tokens = 0
        self.computed_tokens = 0
        self.stream = 0
        self.position = 0
        self.limit = 0

    @property
    def running(self) -> bool:
        """Return whether the next step produces a token for this slot."""
        return self.phase == "decode" and self.position < self.limit


@dataclass(frozen=True)
class OpenStream:
    """One stream of a slot's tokens; a later stream of the slot ends it."""

    slot: Slot
    number: int
    offset: int
    limit: int


@dataclass(frozen=True)
class StreamItem:
    """A token with its index, or the end of the response if `token` is None."""

    index: int
    token: str | None = None


class DecodePool:
    """The slots of one engine, and the steps that produce tokens for them."""

    def __init__(self, speed: DecodeSpeed, records: RunRecords, faults: Faults) -> None:
        self._speed = speed
        self._records = records
        self._faults = faults
        self._lock = threading.Lock()
        self._work = threading.Condition(self._lock)
        self._order = itertools.count()
        self._waiting: list[tuple[int, int, Slot]] = []
        self._slots: list[Slot] = []
        threading.Thread(target=self._run_steps, daemon=True).start()

    def import_cache(self, call: Call, kv_id: str, source: str, wait: bool) -> Slot:
        """Wait for a slot, fetch the KV cache into it, and return the slot."""
        slot = self._take_slot(call, kv_id, wait)
        try:
            self._faults.wait_at_gate("transfer", lambda: not slot.cancelled)
            if self._faults.take("fail_next_import"):
                raise RefusalError(502, "transfer_failed")
            self._fetch(slot, source)
        except RefusalError:
            self._free(slot)
            if slot.cancelled:
                raise RefusalError(409, "cancelled") from None
            raise
        return slot

    def _take_slot(self, call: Call, kv_id: str, wait: bool) -> Slot:
        slot = Slot(call, kv_id, self._lock)
        with self._lock:
            if self._find(lambda other: other.call.key == call.key):
                raise RefusalError(409, "duplicate")
            full = len(self._slots) >= self._speed.slots
            if full and not wait:
                raise RefusalError(409, "full")
            heapq.heappush(self._waiting, (call.priority, next(self._order), slot))
            self._grant_slots()
        slot.granted.wait()
        if slot.cancelled:
            raise RefusalError(409, "cancelled")
        return slot

    def _grant_slots(self) -> None:
        while self._waiting and len(self._slots) < self._speed.slots:
            slot = heapq.heappop(self._waiting)[2]
            slot.phase = "transfer"
            self._slots.append(slot)
            slot.granted.set()

    def _find(self, wanted: Callable[[Slot], bool]) -> list[Slot]:
        waiting = [item[2] for item in self._waiting]
        return [slot for slot in self._slots + waiting if wanted(slot)]

    def _fetch(self, slot: Slot, source: str) -> None:
        connection = http.client.HTTPConnection(
            source, timeout=TRANSFER_TIMEOUT_SECONDS
        )
        slot.connection = connection
        try:
            connection.request("GET", f"/v1/export/{slot.kv_id}")
            response = connection.getresponse()
            if response.status == 410:
                raise RefusalError(410, "kv_gone")
            line = json.loads(response.readline())
            while response.read(READ_BYTES):
                if slot.cancelled:
                    break
            if response.length:
                raise RefusalError(502, "transfer_failed")
        except (OSError, http.client.HTTPException, ValueError) as error:
            raise RefusalError(502, "transfer_failed") from error
        finally:
            connection.close()
        self._mark_imported(slot, line)

    def _mark_imported(self, slot: Slot, line: dict) -> None:
        with self._lock:
            if slot.cancelled:
                raise RefusalError(409, "cancelled")
            slot.prompt = line["prompt"]
            slot.prompt_tokens = line["prompt_tokens"]
            slot.computed_tokens = line["computed_tokens"]
            slot.imported = True

    def open_stream(
        self, call: Call, kv_id: str, offset: int, limit: int
    ) -> OpenStream:
        """Start or continue the decode of an imported cache from the offset.

        A later attempt of the same request takes over the slot, so that an interrupted
        stream continues without another transfer.
        """
        with self._lock:
            slots = [
                slot
                for slot in self._slots
                if slot.imported
                and slot.kv_id == kv_id
                and slot.call.request_id == call.request_id
                and slot.call.attempt <= call.attempt
            ]
            if not slots:
                raise RefusalError(410, "kv_gone")
            slot = slots[0]
            slot.call = call
            slot.stream += 1
            slot.position = offset
            slot.limit = limit
            slot.phase = "decode"
            slot.progressed.notify_all()
            self._work.notify_all()
            return OpenStream(slot, slot.stream, offset, limit)

    def tokens(
        self, stream: OpenStream, alive: Callable[[], bool]
    ) -> Iterator[StreamItem]:
        """Yield the tokens of an open stream, then its end item, then free the slot.

        The iterator stops without an end item if the slot is cancelled or taken over by
        a later stream, or if `alive` returns false.
        """
        answer = AnswerTokens(stream.slot.prompt)
        index = stream.offset
        while index < stream.limit:
            position = self._wait_for_token(stream, index, alive)
            if position <= index:
                return
            for made in range(index, position):
                yield StreamItem(made, answer.token(made))
            index = position
        yield StreamItem(stream.limit)
        self.release(stream)

    def _wait_for_token(
        self, stream: OpenStream, index: int, alive: Callable[[], bool]
    ) -> int:
        """Return the position once it is beyond the index; the index if it closed."""
        slot = stream.slot
        with self._lock:
            while self._is_open(stream) and slot.position <= index and alive():
                slot.progressed.wait(STREAM_POLL_SECONDS)
            return slot.position if self._is_open(stream) and alive() else index

    @staticmethod
    def _is_open(stream: OpenStream) -> bool:
        return not stream.slot.cancelled and stream.slot.stream == stream.number

    def _run_steps(self) -> None:
        due = time.monotonic()
        while True:
            with self._lock:
                while not any(slot.running for slot in self._slots):
                    self._work.wait()
                    due = time.monotonic()
                running = sum(slot.running for slot in self._slots)
            due = max(due + self._step_seconds(running), time.monotonic())
            time.sleep(max(0.0, due - time.monotonic()))
            with self._lock:
                self._make_tokens()

    def _step_seconds(self, running: int) -> float:
        step_ms = (
            self._speed.ms_per_token + self._speed.ms_per_token_per_busy_slot * running
        )
        return step_ms * self._faults.value("slow_factor") / 1000

    def _make_tokens(self) -> None:
        for slot in self._slots:
            if slot.running and not self._faults.holds_decode_at(slot.position):
                slot.position += 1
                slot.progressed.notify_all()

    def release(self, stream: OpenStream) -> None:
        """Free the slot unless a later stream took it over."""
        with self._lock:
            if stream.slot.stream == stream.number:
                self._remove(stream.slot)

    def _free(self, slot: Slot) -> None:
        with self._lock:
            self._remove(slot)

    def _remove(self, slot: Slot) -> None:
        if slot in self._slots:
            self._slots.remove(slot)
        self._grant_slots()

    def cancel(self, call: Call) -> bool:
        """Free each slot and queued import of the attempt; false if none."""
        with self._lock:
            slots = self._find(lambda slot: slot.call.key == call.key)
            for slot in slots:
                self._cancel(slot)
        return bool(slots)

    def _cancel(self, slot: Slot) -> None:
        slot.cancelled = True
        self._waiting = [item for item in self._waiting if item[2] is not slot]
        heapq.heapify(self._waiting)
        slot.granted.set()
        slot.progressed.notify_all()
        _abort(slot.connection)
        self._remove(slot)

    def held(self) -> list[HeldMemory]:
        """Return the requests that wait for a slot or hold one."""
        now = time.monotonic()
        with self._lock:
            return [
                HeldMemory(
                    slot.call.request_id,
                    slot.call.attempt,
                    slot.call.owner,
                    slot.phase,
                    slot.prompt_tokens,
                    int((now - slot.arrived_at) * 1000),
                )
                for slot in self._find(lambda _: True)
            ]

    def load(self) -> dict:
        """Return the number of queued imports, of used slots and of held tokens."""
        with self._lock:
            return {
                "queued": len(self._waiting),
                "running": len(self._slots),
                "held_tokens": sum(slot.prompt_tokens for slot in self._slots),
            }


def _abort(connection: http.client.HTTPConnection | None) -> None:
    """Shut the connection down, which wakes a thread that reads from it."""
    if connection is None or connection.sock is None:
        return
    try:
        connection.sock.shutdown(socket.SHUT_RDWR)
    except OSError:
        return
