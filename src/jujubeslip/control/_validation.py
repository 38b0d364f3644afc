"""Validation of requests before they are proposed.

Every replica applies the entries of the log. A request that can't be applied must be
refused before it is appended, or each replica would fail on it permanently.
"""

from __future__ import annotations

from returns.result import Failure

# Imported so that the rules register their checks of declarations.
from jujubeslip import rules as rules
from jujubeslip.declaration import parse_declaration
from jujubeslip.discovery import removal_problem
from jujubeslip.kernel import CheckLevel, run_checks
from jujubeslip.peers import (
    ApplyRequest,
    EndpointRemoval,
    KeyClaim,
    PeerRefusal,
    VersionedCommand,
)

MAXIMUM_DECLARATION_BYTES = 1024 * 1024
# Fits into one call between hosts with a wide margin; 350 routes need 0.1 MB.
MAXIMUM_VERSIONED_BYTES = 8 * 1024 * 1024
MAXIMUM_NAME_LENGTH = 1024
REMEDY = "Correct it and run `jujubeslip check` before `jujubeslip apply`."


def check_declaration(request: ApplyRequest) -> None:
    """Raise PeerRefusal if the change must not be proposed."""
    if not _are_names((request.change_id, request.operator_name)):
        raise _invalid("The change_id or operator's name is missing or too long.")
    if request.base_revision is None or request.base_revision < 0:
        raise _invalid("The change does not name the revision that it is based on.")
    if request.declaration is None:
        raise _invalid("The change has no declaration.")
    if len(request.declaration.encode()) > MAXIMUM_DECLARATION_BYTES:
        raise _invalid(f"The declaration exceeds {MAXIMUM_DECLARATION_BYTES} bytes.")
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


def check_version(command: VersionedCommand) -> None:
    """Raise PeerRefusal if a numbered configuration must not be proposed.

    The interface that received it from its operator has validated its content.
    """
    if command.version is None or command.version < 1:
        raise _invalid("The configuration's version is missing or less than 1.")
    if command.content is None:
        raise _invalid("The configuration has no content.")
    if len(command.content.encode()) > MAXIMUM_VERSIONED_BYTES:
        raise _invalid(f"The configuration exceeds {MAXIMUM_VERSIONED_BYTES} bytes.")


def check_claim(claim: KeyClaim) -> None:
    """Raise PeerRefusal if the claim must not be proposed."""
    names = (claim.client, claim.key, claim.request_id, claim.owner, claim.fingerprint)
    if not _are_names(names):
        raise PeerRefusal(
            "claim_invalid",
            "A claim needs a client, a key, a request id, an owner and a fingerprint, "
            f"of at most {MAXIMUM_NAME_LENGTH} characters each.",
            "Send a shorter Idempotency-Key.",
            0,
        )


def check_removal(removal: EndpointRemoval) -> None:
    """Raise PeerRefusal if the removal must not be proposed."""
    problem = removal_problem(removal)
    if problem or removal.scope is None:
        raise PeerRefusal(
            "removal_invalid",
            f"The removal can't be recorded: {problem or 'it has no scope'}.",
            "Have the endpoint send its id and start as its protocol says.",
            0,
        )


def _are_names(values: tuple[str | None, ...]) -> bool:
    return all(value and len(value) <= MAXIMUM_NAME_LENGTH for value in values)


def _invalid(message: str) -> PeerRefusal:
    return PeerRefusal("configuration_invalid", message, REMEDY, 0)
