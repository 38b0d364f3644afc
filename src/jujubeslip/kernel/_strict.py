"""Strict reading of what other programs send: types as they are, and bounds.

Nothing is converted: text is no number, and neither is a truth value or a fraction.
"""

from __future__ import annotations

from typing import Annotated, Any, TypeVar

from pydantic import (
    AfterValidator,
    BaseModel,
    ConfigDict,
    Field,
    StringConstraints,
    ValidationError,
)
from returns.result import Failure, Result, Success

# The largest whole number that every program reads exactly from JSON; it also fits
# into the 64 bits of a message between hosts.
MAXIMUM_WHOLE = 2**53 - 1
# Longest name of a service, a zone or a model, in characters, as a host name's.
MAXIMUM_NAME = 255
# Longest id, in characters; it is a header's value and a part of a path.
MAXIMUM_ID = 128
# Wrong fields that one message names at most: enough to mend it, and short in a log.
MAXIMUM_NAMED = 5
# Longest description of what is wrong, in characters: it goes into log lines.
MAXIMUM_PROBLEM = 300

Whole = Annotated[int, Field(ge=0, le=MAXIMUM_WHOLE)]
Text = Annotated[str, StringConstraints(min_length=1, max_length=MAXIMUM_NAME)]
# Visible ASCII without a slash: a line break in one would begin a header of its own.
Id = Annotated[
    str, StringConstraints(pattern=rf"^[!-.0-~]{{1,{MAXIMUM_ID}}}$", strict=True)
]

_OCTET = "(25[0-5]|2[0-4][0-9]|1[0-9][0-9]|[1-9]?[0-9])"
_PORT = (
    "([1-9][0-9]{0,3}|[1-5][0-9]{4}|6[0-4][0-9]{3}|65[0-4][0-9]{2}|655[0-2][0-9]"
    "|6553[0-5])"
)
# IP:port in one pattern. With a check in Python, as settings have it, an announcement
# takes 22 µs to read, and 12 with this (`python -m bench.reading_messages`).
EndpointAddress = Annotated[
    str, StringConstraints(pattern=rf"^{_OCTET}(\.{_OCTET}){{3}}:{_PORT}$")
]

Model = TypeVar("Model", bound=BaseModel)


def _refuse_null(value: Any) -> Any:
    if value is None:
        raise ValueError("null is no value; leave the field out")
    return value


# For fields that may be left out, whose default is None.
NotNull = AfterValidator(_refuse_null)


class StrictModel(BaseModel):
    """A message of another program; fields that aren't known are passed over."""

    model_config = ConfigDict(strict=True, frozen=True, extra="ignore")


def read_json(model: type[Model], body: bytes) -> Result[Model, str]:
    """Return the message in these bytes, or which of its fields are wrong."""
    try:
        return Success(model.model_validate_json(body))
    except ValidationError as error:
        return Failure(_describe_problem(error))


def read_fields(
    model: type[Model], value_by_name: dict[str, Any]
) -> Result[Model, str]:
    """Return the message with these fields, or which of them are wrong."""
    try:
        return Success(model.model_validate(value_by_name))
    except ValidationError as error:
        return Failure(_describe_problem(error))


def _describe_problem(error: ValidationError) -> str:
    """Return which fields are wrong and why, without their values."""
    problems = error.errors(
        include_url=False, include_context=False, include_input=False
    )
    named = "; ".join(
        f"'{'.'.join(str(part) for part in problem['loc'])}': {problem['msg']}"
        for problem in problems[:MAXIMUM_NAMED]
    )
    return f"Not usable, correct it: {named}."[:MAXIMUM_PROBLEM]
