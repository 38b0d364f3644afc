"""Contents of requests that endpoints have run lately without harm."""

from __future__ import annotations

import math
import threading
from collections import OrderedDict

from jujubeslip.kernel import steady_seconds

MILLISECONDS = 1000
# Contents that are remembered at most, the latest ones.
MAXIMUM_CONTENTS = 1000
# How long a content counts as harmless after a run of it, in seconds. A version of an
# endpoint that is rolled out may crash on what the one before has borne.
HARMLESS_SECONDS = 60.0


class HarmlessContents:
    """The contents that this host saw run, by fingerprint; may be used by threads.

    Equal requests that come often run at every endpoint, and so at each one that
    another request ends; in a series of crashes none of them may be answered whole.
    """

    def __init__(self) -> None:
        self._ran_at_by_fingerprint: OrderedDict[str, float] = OrderedDict()
        self._lock = threading.Lock()

    def note(self, fingerprint: str) -> None:
        """Note that an endpoint has run the content, and goes on."""
        with self._lock:
            self._ran_at_by_fingerprint[fingerprint] = steady_seconds()
            self._ran_at_by_fingerprint.move_to_end(fingerprint)
            if len(self._ran_at_by_fingerprint) > MAXIMUM_CONTENTS:
                self._ran_at_by_fingerprint.popitem(last=False)

    def ran_at(self, fingerprint: str) -> float:
        """Return when it ran last, in seconds; long ago if that is not known."""
        return self._ran_at_by_fingerprint.get(fingerprint, -math.inf)

    def ran_ago_ms(self, fingerprint: str) -> int | None:
        """Return the milliseconds since it ran last, None if that is not known."""
        ran_at = self._ran_at_by_fingerprint.get(fingerprint)
        if ran_at is None:
            return None
        return int((steady_seconds() - ran_at) * MILLISECONDS)

    def holds(self, fingerprint: str) -> bool:
        """Say whether the content counts as harmless now."""
        return self.ran_at(fingerprint) > steady_seconds() - HARMLESS_SECONDS
