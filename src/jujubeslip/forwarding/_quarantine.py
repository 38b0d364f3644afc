"""Which requests are held back, since equal ones have crashed endpoints."""

from __future__ import annotations

import logging

from jujubeslip.forwarding._models import ForwardContext
from jujubeslip.kernel import RequestRefusedError
from jujubeslip.quarantine import CrashBook, CrashHistory, HarmlessContents

logger = logging.getLogger(__name__)


class Quarantine:
    """Refuses requests of quarantined contents, and clears those that are harmless."""

    def __init__(self, crash_book: CrashBook, harmless: HarmlessContents) -> None:
        self._crash_book = crash_book
        self._harmless = harmless
        crash_book.clear_harmless(harmless.holds)

    def holds(self, context: ForwardContext) -> bool:
        """Say whether the request's content is held back now."""
        return self._find_held(context) is not None

    def check(self, context: ForwardContext) -> None:
        """Raise RequestRefusedError if the request's content is held back now."""
        history = self._find_held(context)
        if history is None or history.held_until is None:
            return
        extra = {
            "request_id": context.request.request_id,
            "fingerprint": history.fingerprint,
            "crashes": history.count,
            "start_ids": [crash.start_id for crash in history.crashes],
            "held_for_ms": history.held_until.remaining_ms(),
            "harmless_ago_ms": self._harmless.ran_ago_ms(history.fingerprint),
        }
        logger.info("request quarantined", extra=extra)
        raise RequestRefusedError(
            "request_quarantined",
            f"Equal requests have ended {history.count} endpoints one after another.",
            retry_after=history.held_until.remaining(),
            remedy="Ask the operators to look into it; once it is harmless, they can "
            f"run `jujubeslip quarantine lift {history.fingerprint}`.",
        )

    def note_harmless(self, context: ForwardContext) -> None:
        """Note that an endpoint has run the request, and goes on."""
        self._harmless.note(context.fingerprint)
        if not self._crash_book.is_empty:
            self._crash_book.clear(context.fingerprint)

    def _find_held(self, context: ForwardContext) -> CrashHistory | None:
        if self._crash_book.is_empty:
            return None
        history = self._crash_book.find(context.fingerprint)
        if history is None or history.held_until is None:
            return None
        if self._harmless.ran_at(history.fingerprint) > history.crashes[0].crashed_at:
            # Other hosts saw it crash alone, and may not have heard of this run.
            self._crash_book.clear(history.fingerprint)
            return None
        return None if history.held_until.expired else history
