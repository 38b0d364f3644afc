"""Access to the syntax trees of the source code, without importing it."""

from __future__ import annotations

import ast
from collections.abc import Iterator
from pathlib import Path

SOURCE = Path(__file__).parents[1] / "src" / "jujubeslip"


def source_trees() -> Iterator[tuple[Path, ast.Module]]:
    """Yield the path and syntax tree of each module, except generated code."""
    for path in sorted(SOURCE.rglob("*.py")):
        if "gen" not in path.relative_to(SOURCE).parts:
            yield path, ast.parse(path.read_text())


def calls_of(*names: str) -> Iterator[tuple[Path, ast.Call]]:
    """Yield the calls of functions or methods with one of these names."""
    for path, tree in source_trees():
        for node in ast.walk(tree):
            if isinstance(node, ast.Call) and called_name(node) in names:
                yield path, node


def called_name(call: ast.Call) -> str:
    """Return the name of the function or method that is called."""
    if isinstance(call.func, ast.Attribute):
        return call.func.attr
    return call.func.id if isinstance(call.func, ast.Name) else ""


def text_of(node: ast.expr | None) -> str:
    """Return the text of a string or f-string, with `…` for each placeholder."""
    if isinstance(node, ast.Constant) and isinstance(node.value, str):
        return node.value
    if isinstance(node, ast.JoinedStr):
        return "".join(text_of(part) or "…" for part in node.values)
    return ""


def argument_of(call: ast.Call, position: int, name: str) -> ast.expr | None:
    """Return an argument given by name or by position, or None."""
    for keyword in call.keywords:
        if keyword.arg == name:
            return keyword.value
    return call.args[position] if position < len(call.args) else None
