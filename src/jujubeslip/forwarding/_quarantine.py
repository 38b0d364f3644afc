"""Refuses requests whose content, or a part of whose prompt, crashed endpoints."""

from __future__ import annotations

import logging

from jujubeslip.forwarding._models import ForwardContext
from jujubeslip.kernel import RequestRefusedError
from jujubeslip.quarantine import CrashHistory, CrashRegistry, HarmlessContents

logger = logging.getLogger(__name__)


class Quarantine:
    """Refuses requests of quarantined contents and parts, and records complete runs."""

    def __init__(
        self, crash_registry: CrashRegistry, harmless_contents: HarmlessContents
    ) -> None:
        self._crash_registry = crash_registry
        self._harmless_contents = harmless_contents
        self._parts_that_ran = HarmlessContents()
        crash_registry.set_harmless_check(harmless_contents.holds)
        crash_registry.set_part_runs(self._parts_that_ran.ran_at)

    def holds(self, context: ForwardContext) -> bool:
        """Return whether the request is quarantined now."""
        return self._find_held(context) is not None

    def has_crashed(self, context: ForwardContext) -> bool:
        """Return whether an endpoint is known to have crashed on the content."""
        if self._crash_registry.is_empty:
            return False
        fingerprints = (context.fingerprint, *context.part_fingerprints)
        return any(self._crash_registry.find(item) for item in fingerprints)

    def check(self, context: ForwardContext) -> None:
        """Raise RequestRefusedError if the request is quarantined now."""
        history = self._find_held(context)
        if history is None or history.quarantined_until is None:
            return
        extra = {
            "request_id": context.request.request_id,
            "fingerprint": history.fingerprint,
            "is_part": history.is_part,
            "crashes": history.count,
            "start_ids": [crash.start_id for crash in history.crashes],
            "held_for_ms": history.quarantined_until.remaining_ms(),
            "harmless_ago_ms": self._ran_ago_ms(history),
        }
        logger.info("request quarantined", extra=extra)
        requests = (
            "Requests with a part of this prompt"
            if history.is_part
            else "Equal requests"
        )
        raise RequestRefusedError(
            "request_quarantined",
            f"{requests} have crashed {history.count} endpoints in succession.",
            retry_after=history.quarantined_until.remaining(),
            remedy="Ask the operators to look into it; once it is harmless, they can "
            f"run `jujubeslip quarantine lift {history.fingerprint}`.",
        )

    def note_harmless(self, context: ForwardContext) -> None:
        """Record that an endpoint has run the request without crashing."""
        self._harmless_contents.note(context.fingerprint)
        if not self._crash_registry.is_empty:
            self._crash_registry.clear(context.fingerprint)

    def note_answered(self, context: ForwardContext) -> None:
        """Record that an endpoint has generated an answer without crashing.

        This is evidence for the parts of the prompt, too; an error response is not.
        """
        self.note_harmless(context)
        parts = context.part_fingerprints
        for part in parts:
            self._parts_that_ran.note(part)
        if self._crash_registry.is_empty or context.request.prompt is None:
            return
        for part in parts:
            self._crash_registry.clear(part)
        self._crash_registry.note_run_without(parts, context.service_name)

    def _find_held(self, context: ForwardContext) -> CrashHistory | None:
        if self._crash_registry.is_empty:
            return None
        history = self._find(context.fingerprint, self._harmless_contents)
        return history or self._find_held_part(context.part_fingerprints)

    def _find_held_part(self, parts: tuple[str, ...]) -> CrashHistory | None:
        for part in parts:
            history = self._find(part, self._parts_that_ran)
            if history is not None and history.companions.issubset(parts):
                return history
        return None

    def _find(self, fingerprint: str, ran: HarmlessContents) -> CrashHistory | None:
        history = self._crash_registry.find(fingerprint)
        if history is None or history.quarantined_until is None:
            return None
        if ran.ran_at(fingerprint) > history.crashes[0].crashed_at:
            # Other hosts only saw the crashes, and may not know of this run.
            self._crash_registry.clear(fingerprint)
            return None
        return None if history.quarantined_until.expired else history

    def _ran_ago_ms(self, history: CrashHistory) -> int | None:
        ran = self._parts_that_ran if history.is_part else self._harmless_contents
        return ran.ran_ago_ms(history.fingerprint)
