"""The page about log lines, generated from the logger calls in the source code."""

from __future__ import annotations

import ast
from collections.abc import Iterator
from dataclasses import dataclass
from pathlib import Path

from tools.source import SOURCE, argument_of, called_name, source_trees, text_of

LEVELS = ("debug", "info", "warning", "error", "exception")
INTRODUCTION = """# Log lines

A line is a JSON object with `time`, `level`, `logger`, `message`, and the fields below.
Messages are constant: they identify the kind of line. A host writes at most 100 lines
of a kind in a second, except for warnings and errors; the next line of the kind has the
number of suppressed lines in `left_out_before`. While the output stream blocks since
nobody reads it, lines are dropped; the next line has their number in `dropped_before`.
`jujubeslip trace` prints the lines about one request in order.
"""


@dataclass(frozen=True)
class LineKind:
    """One kind of log line, as one call writes it."""

    message: str
    level: str
    module: str
    fields: tuple[str, ...]


def logs_page(head: str) -> str:
    """Return the page, which begins with `head`."""
    kinds = sorted(set(_kinds()), key=lambda kind: (kind.message, kind.module))
    rows = [_row(kind) for kind in kinds]
    table = ["| message | level | written by | fields |", "|---|---|---|---|", *rows]
    return "\n".join([head, INTRODUCTION, *table, ""])


def _row(kind: LineKind) -> str:
    fields = ", ".join(f"`{name}`" for name in kind.fields) or "none"
    return f"| {kind.message} | {kind.level} | `{kind.module}` | {fields} |"


def _kinds() -> Iterator[LineKind]:
    for path, tree in source_trees():
        for function in ast.walk(tree):
            if isinstance(function, ast.FunctionDef):
                yield from _kinds_in(path, function)


def _kinds_in(path: Path, function: ast.FunctionDef) -> Iterator[LineKind]:
    keys_by_name = _keys_by_name(function)
    for node in ast.walk(function):
        if not isinstance(node, ast.Call) or called_name(node) not in LEVELS:
            continue
        if not _is_logger(node):
            continue
        level = called_name(node).replace("exception", "error")
        fields = _keys(argument_of(node, 9, "extra"), keys_by_name)
        for message in _messages(node.args[0] if node.args else None):
            module = path.relative_to(SOURCE).with_suffix("").as_posix()
            yield LineKind(message, level, module, tuple(sorted(fields)))


def _is_logger(call: ast.Call) -> bool:
    owner = call.func.value if isinstance(call.func, ast.Attribute) else None
    return isinstance(owner, ast.Name) and owner.id == "logger"


def _messages(node: ast.expr | None) -> list[str]:
    if isinstance(node, ast.IfExp):
        return [*_messages(node.body), *_messages(node.orelse)]
    text = text_of(node)
    return [text] if text else []


def _keys_by_name(function: ast.FunctionDef) -> dict[str, set[str]]:
    """Return the keys of each dictionary in the function, by the variable's name."""
    keys_by_name: dict[str, set[str]] = {}
    for node in ast.walk(function):
        if isinstance(node, ast.AnnAssign):
            _add(node.target, node.value, keys_by_name)
        elif isinstance(node, ast.Assign):
            for target in node.targets:
                _add(target, node.value, keys_by_name)
    return keys_by_name


def _add(
    target: ast.expr, value: ast.expr | None, keys_by_name: dict[str, set[str]]
) -> None:
    if isinstance(target, ast.Name) and isinstance(value, ast.Dict):
        keys_by_name.setdefault(target.id, set()).update(_keys(value, keys_by_name))
    elif isinstance(target, ast.Subscript) and isinstance(target.value, ast.Name):
        keys_by_name.setdefault(target.value.id, set()).add(text_of(target.slice))


def _keys(node: ast.expr | None, keys_by_name: dict[str, set[str]]) -> set[str]:
    if isinstance(node, ast.Name):
        return keys_by_name.get(node.id, set())
    if not isinstance(node, ast.Dict):
        return set()
    keys: set[str] = set()
    for key, value in zip(node.keys, node.values, strict=True):
        keys |= _keys(value, keys_by_name) if key is None else {text_of(key)}
    return keys - {""}
