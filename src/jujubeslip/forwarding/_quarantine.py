"""Refuses requests whose content is quarantined because it crashed endpoints."""

from __future__ import annotations

import logging

from jujubeslip.forwarding._models import ForwardContext
from jujubeslip.kernel import RequestRefusedError
from jujubeslip.quarantine import CrashHistory, CrashRegistry, HarmlessContents

logger = logging.getLogger(__name__)


class Quarantine:
    """Refuses requests of quarantined contents, and clears harmless contents."""

    def __init__(
        self, crash_registry: CrashRegistry, harmless_contents: HarmlessContents
    ) -> None:
        self._crash_registry = crash_registry
        self._harmless_contents = harmless_contents
        crash_registry.set_harmless_check(harmless_contents.holds)

    def holds(self, context: ForwardContext) -> bool:
        """Return whether the request's content is quarantined now."""
        return self._find_held(context) is not None

    def check(self, context: ForwardContext) -> None:
        """Raise RequestRefusedError if the request's content is quarantined now."""
        history = self._find_held(context)
        if history is None or history.quarantined_until is None:
            return
        extra = {
            "request_id": context.request.request_id,
            "fingerprint": history.fingerprint,
            "crashes": history.count,
            "start_ids": [crash.start_id for crash in history.crashes],
            "held_for_ms": history.quarantined_until.remaining_ms(),
            "harmless_ago_ms": self._harmless_contents.ran_ago_ms(history.fingerprint),
        }
        logger.info("request quarantined", extra=extra)
        raise RequestRefusedError(
            "request_quarantined",
            f"Equal requests have crashed {history.count} endpoints in succession.",
            retry_after=history.quarantined_until.remaining(),
            remedy="Ask the operators to look into it; once it is harmless, they can "
            f"run `jujubeslip quarantine lift {history.fingerprint}`.",
        )

    def note_harmless(self, context: ForwardContext) -> None:
        """Record that an endpoint has run the request without crashing."""
        self._harmless_contents.note(context.fingerprint)
        if not self._crash_registry.is_empty:
            self._crash_registry.clear(context.fingerprint)

    def _find_held(self, context: ForwardContext) -> CrashHistory | None:
        if self._crash_registry.is_empty:
            return None
        history = self._crash_registry.find(context.fingerprint)
        if history is None or history.quarantined_until is None:
            return None
        if (
            self._harmless_contents.ran_at(history.fingerprint)
            > history.crashes[0].crashed_at
        ):
            # Other hosts only saw the crashes, and may not know of this run.
            self._crash_registry.clear(history.fingerprint)
            return None
        return None if history.quarantined_until.expired else history
