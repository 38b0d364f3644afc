"""A load of clients that each send requests one after another."""

from __future__ import annotations

import time
from collections.abc import Callable, Sequence
from concurrent.futures import ThreadPoolExecutor
from threading import Event
from typing import TypeVar

T = TypeVar("T")


def offer(
    send: Callable[[int], T],
    seconds: float,
    entries: Sequence[int],
    pause_seconds: float,
) -> list[T]:
    """Run a client for each entry of `entries`; return all responses."""
    ended = Event()

    def send_to(entry: int) -> list[T]:
        replies = []
        while not ended.wait(pause_seconds):
            replies.append(send(entry))
        return replies

    with ThreadPoolExecutor(len(entries)) as pool:
        threads = [pool.submit(send_to, entry) for entry in entries]
        time.sleep(seconds)
        ended.set()
        return [reply for future in threads for reply in future.result()]
