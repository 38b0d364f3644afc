"""Descriptions, types and defaults of the keys of settings and declarations."""

from __future__ import annotations

import ast
import enum
import inspect
from collections.abc import Iterator
from dataclasses import MISSING, fields
from pathlib import Path
from typing import Annotated, Any, get_args, get_origin

from pydantic.fields import FieldInfo


def key_descriptions(kind: type) -> dict[str, str]:
    """Return the docstring after each field of a data class, by the field's name."""
    tree = ast.parse(inspect.getsource(kind)).body[0]
    assert isinstance(tree, ast.ClassDef)
    found = {}
    for item, following in zip(tree.body, tree.body[1:], strict=False):
        text = _docstring(following)
        if isinstance(item, ast.AnnAssign) and text:
            found[ast.unparse(item.target)] = text
    missing = {field.name for field in fields(kind)} - set(found)  # type: ignore[arg-type]
    if missing:
        raise SystemExit(
            f"{kind.__name__}: no docstring after {', '.join(sorted(missing))}."
        )
    return found


def _docstring(node: ast.stmt) -> str:
    if not isinstance(node, ast.Expr) or not isinstance(node.value, ast.Constant):
        return ""
    return " ".join(str(node.value.value).split())


def type_text(hint: Any) -> str:
    """Return a description of a key's type and bounds."""
    if get_origin(hint) is Annotated:
        inner, *details = get_args(hint)
        bounds = [text for detail in details for text in _bounds(detail)]
        return ", ".join([type_text(inner), *bounds])
    if inspect.isclass(hint) and issubclass(hint, enum.Enum):
        return " or ".join(f"`{item.value}`" for item in hint)
    names = {str: "text", int: "integer", float: "number", bool: "true or false"}
    if hint in names:
        return names[hint]
    if hint is Path:
        return "path"
    arguments = [item for item in get_args(hint) if item not in (Ellipsis, type(None))]
    if get_origin(hint) is tuple:
        return f"list of {type_text(arguments[0])}"
    if get_origin(hint) is dict:
        return "table of name = integer"
    if arguments:
        return type_text(arguments[0])
    return f"{hint.__name__} table"


def _bounds(detail: object) -> Iterator[str]:
    if not isinstance(detail, FieldInfo):
        return
    if detail.description:
        yield detail.description
        return
    label_by_bound = {
        "ge": "at least",
        "gt": "above",
        "le": "at most",
        "min_length": "length at least",
    }
    for bound in detail.metadata:
        for key, word in label_by_bound.items():
            if getattr(bound, key, None) is not None:
                yield f"{word} {getattr(bound, key)}"


def default_text(field: Any) -> str:
    """Return a key's default, or `required` if it has none."""
    default = field.default
    if default is MISSING and field.default_factory is MISSING:
        return "required"
    if isinstance(default, FieldInfo) or default is MISSING:
        return "none"
    if isinstance(default, enum.Enum):
        return f"`{default.value}`"
    if default in (None, "", ()):
        return "none"
    return f"`{default}`"
