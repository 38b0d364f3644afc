"""Stand-in workers, each of which is restarted some time after it has ended."""

from __future__ import annotations

import itertools
import threading
from types import TracebackType
from typing import Any, Self

from tests.fakes.platform_system import PlatformSystem
from tests.fakes.platform_worker import PlatformWorker
from tests.fakes.processes import free_address

POLL_SECONDS = 0.02


class Fleet:
    """Workers of one service; each start has a new id and the same address."""

    def __init__(
        self,
        system: PlatformSystem,
        size: int,
        service: str = "plain",
        down_seconds: float = 0.2,
        **fields: Any,
    ) -> None:
        self.starts: list[PlatformWorker] = []
        """All starts of workers, in order."""
        self._system = system
        self._service = service
        self._fields = fields
        self._down_seconds = down_seconds
        self._numbers = itertools.count(1)
        self._stopped = threading.Event()
        self._threads = [
            threading.Thread(
                target=self._restart_when_killed,
                args=(self._add(listens_at=free_address()),),
                daemon=True,
            )
            for _ in range(size)
        ]

    def __enter__(self) -> Self:
        for thread in self._threads:
            thread.start()
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        self._stopped.set()
        for thread in self._threads:
            thread.join()

    def run_ids(self) -> list[str]:
        """Return the ids of all requests that ran at any of the starts."""
        return [name for worker in list(self.starts) for name in worker.run_ids()]

    def _add(self, **fields: Any) -> PlatformWorker:
        worker_id = f"{self._service}-{next(self._numbers)}"
        worker = PlatformWorker(worker_id, self._service, **self._fields, **fields)
        self.starts.append(self._system.add(worker))
        return worker

    def _restart_when_killed(self, worker: PlatformWorker) -> None:
        """Restart the worker whenever it has ended and its connections are closed."""
        while not self._stopped.wait(POLL_SECONDS):
            if not worker.killed.is_set():
                continue
            self._system.withdraw(worker)
            if self._stopped.wait(self._down_seconds):
                return
            worker = self._add(listens_at=worker.address)
