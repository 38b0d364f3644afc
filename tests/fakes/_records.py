"""Tokens of the stand-in engines, and the record of their runs."""

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
    """The refusal of a call: an HTTP status and a reason."""

    def __init__(self, status: int, reason: str) -> None:
        super().__init__(reason)
        self.status = status
        self.reason = reason


@dataclass(frozen=True)
class Call:
    """The fields that every call for a request carries."""

    request_id: str
    attempt: int
    owner: str = ""
    priority: int = 1

    @classmethod
    def from_body(cls, body: dict) -> Call:
        """Parse the call from a JSON body; refuse an invalid one with 400."""
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
        """Return the key that identifies the attempt."""
        return (self.request_id, self.attempt)

    def echo(self) -> dict:
        """Return the fields that every response repeats."""
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
    """One run of one attempt; only prefill runs compute `computed_tokens`.

    `first_index` and `last_index` are those of the first and last token that were
    written to the caller, or -1 without any. `computed_tokens` of a decode run is the
    number of tokens that its prefill computed.
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
    """The runs of one engine, limited in number, which tests check independently."""

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
        """Record the end of a run; a second call has no effect."""
        with self._lock:
            run = self._run_by_number.pop(number, None)
            if run is not None:
                ended = replace(run, outcome=outcome, ended_ms=now_ms())
                self._finished.append(replace(ended, **changes))  # type: ignore[arg-type]

    def as_json(self) -> dict:
        """Return the runs and the totals in the format of `/v1/records`."""
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


class AnswerTokens:
    """The response to one prompt: token `i` depends only on the prompt and `i`."""

    def __init__(self, prompt: str) -> None:
        self._hasher = hashlib.sha256(f"{prompt}|".encode())

    def token(self, index: int) -> str:
        """Return the token at the index, with its trailing space."""
        hasher = self._hasher.copy()
        hasher.update(str(index).encode())
        return f"w{hasher.hexdigest()[:4]} "


def answer_text(prompt: str, tokens: int) -> str:
    """Return the complete response of an engine to the prompt."""
    answer = AnswerTokens(prompt)
    return "".join(answer.token(index) for index in range(tokens))


def block_hashes(prompt: str) -> Iterator[tuple[int, str]]:
    """Yield the number, from 1, and the prefix hash of each complete block."""
    tokens = prompt.split()
    hasher = hashlib.sha256()
    for number in range(1, len(tokens) // BLOCK_TOKENS + 1):
        block = tokens[(number - 1) * BLOCK_TOKENS : number * BLOCK_TOKENS]
        joined = " ".join(block)
        hasher.update((joined if number == 1 else f" {joined}").encode())
        yield number, hasher.copy().hexdigest()[:16]


def now_ms() -> int:
    """Return the wall clock in milliseconds, comparable on one machine."""
    return time.time_ns() // 1_000_000
