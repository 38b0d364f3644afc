"""Bounds that several checks share."""

from __future__ import annotations

# A host is in touch with the others if it was not disturbed for this long, in seconds:
# longer than a silent connection goes unnoticed, and than a start takes.
CONTACT_SECONDS = 3.0
# By how much a stall that the soak sees in itself makes its bounds longer.
STALL_FACTOR = 2.0
