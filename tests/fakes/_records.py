"""Tokens of the stand-ins, and the record of what ran."""

from __future__ import annotations

import hashlib
import threading
import time
from collections import deque
from collections.abc import Iterator
from dataclasses import asdict, dataclass, replace

BLOCK_TOKENS = 64
MAXIMUM_RECORDS = 200_000


class RefusalError(Exception):
    """A call that the stand-in refuses: an HTTP status and a reason."""

    def __init__(self, status: int, reason: str) -> None:
        super().__init__(reason)
        self.status = status
        self.reason = reason


@dataclass(frozen=True)
class Call:
    """What every call for a request carries."""

    request_id: str
    attempt: int
    owner: str = ""
    priority: int = 1

    @classmethod
    def from_body(cls, body: dict) -> Call:
        """Read the call from a JSON body; refuse it with 400 when it is wrong."""
        try:
            return cls(
                str(body["request_id"]),
                int(body["attempt"]),
                str(body.get("owner", "")),
                int(body.get("priority", 1)),
            )
        except (KeyError, TypeError, ValueError) as error:
            raise RefusalError(400, "bad_call") from error

    @property
    def key(self) -> tuple[str, int]:
        """Return what identifies the attempt."""
        return (self.request_id, self.attempt)

    def echo(self) -> dict:
        """Return the part that every answer repeats."""
        return {"request_id": self.request_id, "attempt": self.attempt}


@dataclass(frozen=True)
class HeldMemory:
    """Engine memory held for one attempt, as `/v1/status` lists it."""

    request_id: str
    attempt: int
    owner: str
    phase: str
    tokens: int
    age_ms: int


@dataclass(frozen=True)
class Run:
    """One run of one attempt; `computed_tokens` only counts in prefill runs.

    `first_index` and `last_index` bound the tokens that were written to the caller,
    both -1 when there were none. `computed_tokens` of a decode run is what the
    prefill that it decodes had cost.
    """

    kind: str
    request_id: str
    attempt: int
    started_ms: int
    ended_ms: int = 0
    outcome: str = "running"
    kv_id: str = ""
    computed_tokens: int = 0
    first_index: int = -1
    last_index: int = -1


class RunRecords:
    """The runs of one engine, bounded, for a test's independent check."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._number = 0
        self._run_by_number: dict[int, Run] = {}
        self._finished: deque[Run] = deque(maxlen=MAXIMUM_RECORDS)

    def start(self, kind: str, call: Call, kv_id: str = "") -> int:
        """Record the start of a run and return its number."""
        run = Run(kind, call.request_id, call.attempt, now_ms(), kv_id=kv_id)
        with self._lock:
            self._number += 1
            self._run_by_number[self._number] = run
            return self._number

    def finish(self, number: int, outcome: str, **changes: object) -> None:
        """Record the end of a run; a second call changes nothing."""
        with self._lock:
            run = self._run_by_number.pop(number, None)
            if run is not None:
                ended = replace(run, outcome=outcome, ended_ms=now_ms())
                self._finished.append(replace(ended, **changes))  # type: ignore[arg-type]

    def as_json(self) -> dict:
        """Return the runs and the totals in the shape of `/v1/records`."""
        with self._lock:
            runs = [*self._finished, *self._run_by_number.values()]
        prefills = [run for run in runs if run.kind == "prefill"]
        decoded = {
            run.kv_id: run.computed_tokens
            for run in runs
            if run.kind == "decode" and run.last_index >= 0
        }
        totals = {
            "prefill_computed_tokens": sum(run.computed_tokens for run in prefills),
            "prefill_decoded_tokens": sum(decoded.values()),
        }
        return {"runs": [asdict(run) for run in runs], "totals": totals}


class Words:
    """The answer to one prompt: token `i` depends on the prompt and `i` only."""

    def __init__(self, prompt: str) -> None:
        self._hasher = hashlib.sha256(f"{prompt}|".encode())

    def token(self, index: int) -> str:
        """Return the token at the index, with its trailing space."""
        hasher = self._hasher.copy()
        hasher.update(str(index).encode())
        return f"w{hasher.hexdigest()[:4]} "


def answer_text(prompt: str, tokens: int) -> str:
    """Return the whole answer that an engine gives to the prompt."""
    words = Words(prompt)
    return "".join(words.token(index) for index in range(tokens))


def block_hashes(prompt: str) -> Iterator[tuple[int, str]]:
    """Yield for each whole block its number from 1 and the hash of the prefix."""
    tokens = prompt.split()
    hasher = hashlib.sha256()
    for number in range(1, len(tokens) // BLOCK_TOKENS + 1):
        block = tokens[(number - 1) * BLOCK_TOKENS : number * BLOCK_TOKENS]
        joined = " ".join(block)
        hasher.update((joined if number == 1 else f" {joined}").encode())
        yield number, hasher.copy().hexdigest()[:16]


def now_ms() -> int:
    """Return the wall clock in milliseconds, to compare records of one machine."""
    return time.time_ns() // 1_000_000
