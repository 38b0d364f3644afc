"""Checks of a declaration before it is proposed."""

from __future__ import annotations

from returns.result import Failure

# Imported so that their checks of a declaration register themselves.
from jujubeslip import rules as rules
from jujubeslip.declaration import parse_declaration
from jujubeslip.kernel import CheckLevel, run_checks
from jujubeslip.peers import ApplyRequest, PeerRefusal

MAXIMUM_DECLARATION_BYTES = 1024 * 1024
REMEDY = "Correct it and run `jujubeslip check` before `jujubeslip apply`."


def check_declaration(request: ApplyRequest) -> None:
    """Raise PeerRefusal when the change must not be proposed at all."""
    if not request.change_id or request.base_revision < 0:
        raise _invalid("A change needs a change_id and a base revision.")
    if len(request.declaration.encode()) > MAXIMUM_DECLARATION_BYTES:
        raise _invalid(f"It is longer than {MAXIMUM_DECLARATION_BYTES} bytes.")
    parsed = parse_declaration(request.declaration)
    if isinstance(parsed, Failure):
        raise _invalid(" ".join(str(problem) for problem in parsed.failure()))
    errors = [
        f"{found.place}: {found.message} {found.hint}"
        for found in run_checks(parsed.unwrap())
        if found.level is CheckLevel.ERROR
    ]
    if errors:
        raise _invalid(" ".join(errors))


def _invalid(message: str) -> PeerRefusal:
    return PeerRefusal("configuration_invalid", message, REMEDY, 0)
