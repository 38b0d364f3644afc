"""Contents and parts of prompts that endpoints have recently run without a crash."""

from __future__ import annotations

import math
import threading
from collections import OrderedDict

from jujubeslip.kernel import steady_seconds

MILLISECONDS = 1000
# The maximum number of stored contents or parts; the latest ones are kept.
MAXIMUM_CONTENTS = 1000
# How long a content is considered harmless after a run of it, in seconds. A new version
# of an endpoint may crash on a content that the previous version ran.
HARMLESS_SECONDS = 60.0


class HarmlessContents:
    """The contents, or the parts, that this host has seen run; thread-safe.

    Equal requests that are sent often run at every endpoint, so also at each endpoint
    that another request crashes. In a series of crashes, none of them may get a
    complete answer, so an earlier run has to count as evidence.
    """

    def __init__(self) -> None:
        self._ran_at_by_fingerprint: OrderedDict[str, float] = OrderedDict()
        self._lock = threading.Lock()

    def note(self, fingerprint: str) -> None:
        """Record that an endpoint has run the content and is still running."""
        with self._lock:
            self._ran_at_by_fingerprint[fingerprint] = steady_seconds()
            self._ran_at_by_fingerprint.move_to_end(fingerprint)
            if len(self._ran_at_by_fingerprint) > MAXIMUM_CONTENTS:
                self._ran_at_by_fingerprint.popitem(last=False)

    def ran_at(self, fingerprint: str) -> float:
        """Return when it ran last, in seconds; negative infinity if unknown."""
        return self._ran_at_by_fingerprint.get(fingerprint, -math.inf)

    def ran_ago_ms(self, fingerprint: str) -> int | None:
        """Return the milliseconds since it ran last, or None if unknown."""
        ran_at = self._ran_at_by_fingerprint.get(fingerprint)
        if ran_at is None:
            return None
        return int((steady_seconds() - ran_at) * MILLISECONDS)

    def holds(self, fingerprint: str) -> bool:
        """Return whether the content is currently considered harmless."""
        return self.ran_at(fingerprint) > steady_seconds() - HARMLESS_SECONDS
