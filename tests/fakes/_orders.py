"""Orders to the stand-in engine: load a model, change the role or drain."""

from __future__ import annotations

import threading
from collections.abc import Callable
from dataclasses import dataclass

from tests.fakes._records import RefusalError

ORDER_POLL_SECONDS = 0.02


@dataclass(frozen=True)
class Order:
    """An order as it was received."""

    order_id: str
    fence: int
    kind: str
    model: str
    role: str

    @classmethod
    def from_body(cls, body: dict) -> Order:
        """Parse an order from a JSON body; refuse an invalid one with 400."""
        try:
            order = cls(
                str(body["order_id"]),
                int(body["fence"]),
                str(body["kind"]),
                str(body.get("model") or ""),
                str(body.get("role") or ""),
            )
        except (KeyError, TypeError, ValueError) as error:
            raise RefusalError(400, "bad_order") from error
        if order.kind not in ("load_model", "change_role", "drain"):
            raise RefusalError(400, "bad_order")
        return order


class OrderRegistry:
    """Runs each order once; `check_fence` refuses lower fencing numbers."""

    def __init__(
        self,
        check_fence: bool,
        idle: Callable[[], bool],
        carry_out: Callable[[Order], None],
    ) -> None:
        self._check_fence = check_fence
        self._idle = idle
        self._carry_out = carry_out
        self._lock = threading.Lock()
        self._fence = 0
        self._state_by_id: dict[str, str] = {}
        self._accepted: list[Order] = []

    def accept(self, order: Order) -> str:
        """Accept an order and return its state; a repeated one is not run again."""
        with self._lock:
            if order.order_id in self._state_by_id:
                return self._state_by_id[order.order_id]
            if self._check_fence and order.fence < self._fence:
                raise RefusalError(409, "old_fence")
            self._fence = max(self._fence, order.fence)
            self._state_by_id[order.order_id] = "running"
            self._accepted.append(order)
        threading.Thread(target=self._run, args=(order,), daemon=True).start()
        return "running"

    def _run(self, order: Order) -> None:
        """Run the order; a change of model or role waits until the engine is idle."""
        if order.kind != "drain":
            pause = threading.Event()
            while not self._idle():
                pause.wait(ORDER_POLL_SECONDS)
        self._carry_out(order)
        with self._lock:
            self._state_by_id[order.order_id] = "done"

    def as_json(self) -> list[dict]:
        """Return the accepted orders, in order of arrival."""
        with self._lock:
            return [
                {**vars(order), "state": self._state_by_id[order.order_id]}
                for order in self._accepted
            ]
