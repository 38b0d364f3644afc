"""Generate the pages of docs/reference/ from the code: `make docs`.

The pages are committed; tests/packaging/test_pages.py fails if they are outdated.
"""

from __future__ import annotations

import ast
import sys
from collections.abc import Iterator
from dataclasses import fields
from pathlib import Path
from typing import Any, get_type_hints

import click

from jujubeslip import declaration
from jujubeslip.cli import main as command_line
from jujubeslip.declaration import Declaration
from jujubeslip.kernel import (
    ControlSettings,
    EntrySettings,
    ForwardSettings,
    PeerAddress,
    TelemetrySettings,
)
from tools.data_classes import default_text, key_descriptions, type_text
from tools.logs_page import logs_page
from tools.source import (
    SOURCE,
    argument_of,
    called_name,
    calls_of,
    source_trees,
    text_of,
)

ROOT = Path(__file__).parents[1]
REFERENCE = ROOT / "docs" / "reference"
HEAD = (
    "<!-- Written by `make docs` from the code; change the code, not this page. -->\n"
)
NAME_PATTERN = "letters, digits, `.`, `_`, `-`"


def pages() -> dict[str, str]:
    """Return the text of each generated page by its file name."""
    return {
        "settings.md": settings_page(),
        "declaration.md": declaration_page(),
        "cli.md": cli_page(),
        "errors.md": errors_page(),
        "logs.md": logs_page(HEAD),
        "metrics.md": metrics_page(),
        "spans.md": spans_page(),
    }


# Data classes


def settings_page() -> str:
    """Return the page about all kinds of settings files."""
    parts = [
        HEAD,
        "# Settings\n",
        "Each process reads one TOML file, given by `--settings`. The whole file is "
        "validated before the process opens any address: each error names the file, "
        "the key, the problem and the remedy, and for an unknown key the most similar "
        "known one. To check a file without starting a process, run `jujubeslip check "
        "--kind entry FILE`, `--kind forward` or `--kind control`. Addresses are "
        f"`IP:port`; names have up to 63 {NAME_PATTERN}. Times are in milliseconds, "
        "sizes in bytes. `examples/` contains complete files.\n",
        "A process reads its settings only at its start; to change them, restart it "
        "gracefully (SIGTERM).\n",
    ]
    parts.append(_table("Entry host", EntrySettings))
    parts.append(_table("Forwarding host", ForwardSettings))
    parts.append(_table("Control host", ControlSettings))
    parts.append(
        _table("`[[entry_peers]]`, `[[control_peers]]`, `[[replicas]]`", PeerAddress)
    )
    parts.append(_table("`[telemetry]`", TelemetrySettings))
    return "\n".join(parts)


def declaration_page() -> str:
    """Return the page about the declaration."""
    parts = [
        HEAD,
        "# The declaration\n",
        "Operators keep the declaration in version control and put it in force by "
        "`jujubeslip apply`; `jujubeslip check FILE` finds its errors before that. "
        "[topics/rules](../topics/rules.md) describes how rules decide.\n",
    ]
    for title, kind in (
        ("Top level", Declaration),
        ("`[[service]]`", declaration.Service),
        ("`[[rule]]`", declaration.Rule),
        ("`when` of a rule", declaration.Condition),
        ("`then` of a rule", declaration.Action),
        ("`[[client]]`", declaration.Client),
        ("`[[placement]]`", declaration.Placement),
    ):
        parts.append(_table(title, kind))
    parts.append(_checks_table())
    return "\n".join(parts)


def _table(title: str, kind: Any) -> str:
    descriptions = key_descriptions(kind)
    hints = get_type_hints(kind, include_extras=True)
    rows = [f"## {title}\n", f"{kind.__doc__}\n"]
    rows += ["| key | value | default | meaning |", "|---|---|---|---|"]
    for field in fields(kind):
        value, default = type_text(hints[field.name]), default_text(field)
        meaning = descriptions[field.name]
        rows.append(f"| `{field.name}` | {value} | {default} | {meaning} |")
    return "\n".join(rows) + "\n"


# The command line


def cli_page() -> str:
    """Return the page about the commands, from their help texts."""
    context = click.Context(command_line, info_name="jujubeslip")
    parts = [HEAD, "# The command line\n", _help_block(context)]
    assert isinstance(command_line, click.Group)
    for path, command in _commands(command_line, "jujubeslip"):
        parts.append(f"## `{path}`\n")
        parts.append(_help_block(click.Context(command, info_name=path)))
    return "\n".join(parts)


def _commands(group: click.Group, path: str) -> Iterator[tuple[str, click.Command]]:
    for name, command in sorted(group.commands.items()):
        yield f"{path} {name}", command
        if isinstance(command, click.Group):
            yield from _commands(command, f"{path} {name}")


def _help_block(context: click.Context) -> str:
    context.max_content_width = 84
    context.terminal_width = 84
    return f"```text\n{context.command.get_help(context)}\n```\n"


# Calls and classes in the source code


def errors_page() -> str:
    """Return the page about all error ids."""
    parts = [
        HEAD,
        "# Errors\n",
        "Every error has a stable id, a message and a remedy. A refusal to a client "
        "also contains whether the request `ran` (`no`: certainly not; `unknown`: it "
        "may have run) and, in `Retry-After`, when to retry; "
        "[topics/outcomes](../topics/outcomes.md) describes the consequences. `…` "
        "stands for text that varies.\n",
        "## Refusals to clients and endpoints\n",
        "| id | status | ran | message | remedy |",
        "|---|---|---|---|---|",
        *sorted(set(_refusal_rows())),
        "",
        "The ids of the next table that begin with `endpoint_`, and `answer_cut`, also "
        "reach clients: with status 502, and with `ran: unknown` unless the endpoint "
        "certainly did not run the request.\n",
        "## Kinds of error\n",
        "| id | meaning | remedy |",
        "|---|---|---|",
        *sorted(set(_class_rows())),
        "",
        "## Refusals between processes, and to operators\n",
        "| id | message | remedy |",
        "|---|---|---|",
        *sorted(set(_peer_rows())),
        "",
    ]
    return "\n".join(parts)


def _refusal_rows() -> Iterator[str]:
    default_remedy = "Ask again after the time given in Retry-After."
    for _, call in calls_of("RequestRefusedError"):
        error_id = text_of(argument_of(call, 0, "error_id"))
        if not error_id:
            continue
        status = argument_of(call, 9, "status")
        ran = argument_of(call, 9, "ran")
        yield _row(
            f"`{error_id}`",
            ast.unparse(status) if status else "503",
            ast.unparse(ran).removeprefix("Ran.").lower() if ran else "no",
            text_of(argument_of(call, 1, "message")) or "describes the problem",
            text_of(argument_of(call, 9, "remedy")) or default_remedy,
        )


def _class_rows() -> Iterator[str]:
    class_by_name = {
        node.name: node
        for _, tree in source_trees()
        for node in ast.walk(tree)
        if isinstance(node, ast.ClassDef)
    }
    for node in class_by_name.values():
        error_id = _class_text(node, "error_id")
        if not error_id or not node.name.endswith("Error"):
            continue
        meaning = (ast.get_docstring(node) or "").split("\n")[0]
        remedy = _inherited_text(node, "default_remedy", class_by_name)
        yield _row(f"`{error_id}`", meaning, remedy)


def _class_text(node: ast.ClassDef, name: str) -> str:
    for item in node.body:
        if isinstance(item, ast.Assign) and ast.unparse(item.targets[0]) == name:
            return text_of(item.value)
    return ""


def _inherited_text(
    node: ast.ClassDef, name: str, class_by_name: dict[str, ast.ClassDef]
) -> str:
    text = _class_text(node, name)
    bases = [class_by_name.get(ast.unparse(base)) for base in node.bases]
    for base in bases:
        if not text and base is not None:
            text = _inherited_text(base, name, class_by_name)
    return text


def _peer_rows() -> Iterator[str]:
    for _, call in calls_of("PeerRefusal", "_refusal"):
        error_id = text_of(argument_of(call, 0, "error_id"))
        if not error_id:
            continue
        message = text_of(argument_of(call, 1, "message")) or "describes the problem"
        remedy = text_of(argument_of(call, 2, "remedy")) or "see the message"
        yield _row(f"`{error_id}`", message, remedy)


def _checks_table() -> str:
    rows = ["## Messages of `check`\n"]
    rows += ["| id | level | message | remedy |", "|---|---|---|---|"]
    found = set()
    for _, call in calls_of("CheckMessage"):
        check_id, _, _, message, hint = (text_of(item) for item in call.args[:5])
        level = ast.unparse(call.args[1]).removeprefix("CheckLevel.").lower()
        found.add(_row(f"`{check_id}`", level, message, hint))
    return "\n".join([*rows, *sorted(found)]) + "\n"


def _row(*cells: str) -> str:
    return f"| {' | '.join(' '.join(cell.split()) for cell in cells)} |"


def metrics_page() -> str:
    """Return the page about the metrics."""
    rows = []
    for _, call in calls_of(
        "create_counter", "create_histogram", "create_up_down_counter", "create_gauge",
        "create_observable_gauge", "create_observable_counter",
    ):  # fmt: skip
        kind = called_name(call).removeprefix("create_").replace("_", " ")
        rows.append(
            _row(
                f"`{text_of(argument_of(call, 0, 'name'))}`",
                kind,
                text_of(argument_of(call, 9, "unit")) or "1",
                text_of(argument_of(call, 9, "description")),
            )
        )
    parts = [
        HEAD,
        "# Metrics\n",
        "Metrics are served as text at `metrics_address` of the settings; there, dots "
        "become underscores, units are appended, and counters end in `_total`. They "
        "are also exported by OTLP over HTTP to `otlp_endpoint`, every "
        "`export_interval_ms`, with the resource attributes `service.name`, `host.id` "
        "and `cloud.availability_zone`.\n",
        "| name | kind | unit | meaning |",
        "|---|---|---|---|",
        *sorted(set(rows)),
        "",
    ]
    return "\n".join(parts)


SPAN_MEANINGS = {
    "request": "a client's request, from its arrival to the end of its answer",
    "reserve": "the wait for a grant of endpoints by their home",
    "prefill": "the computation of the prompt at a prefill engine",
    "transfer": "the transfer of the KV cache to a decode engine",
    "decode": "the stream of tokens from a decode engine",
    "call": "the call of a plain service",
}


def spans_page() -> str:
    """Return the page about the spans."""
    names: dict[str, set[str]] = {}
    for path, call in calls_of("start_as_current_span", "start_span"):
        name = text_of(call.args[0])
        names.setdefault(name, set()).add(path.relative_to(SOURCE).as_posix())
    rows = [
        _row(f"`{name}`", SPAN_MEANINGS.get(name, ""), ", ".join(sorted(paths)))
        for name, paths in sorted(names.items())
    ]
    attributes = sorted(
        {text_of(call.args[0]) for _, call in calls_of("set_attribute") if call.args}
    )
    parts = [
        HEAD,
        "# Spans\n",
        "Each request has one trace, with a span for each hop. A `traceparent` header "
        "of the client's request sets the parent; requests to engines have such a "
        "header, too. [how-to/read-a-trace](../how-to/read-a-trace.md) explains an "
        "example.\n",
        "| name | covers | made in |",
        "|---|---|---|",
        *rows,
        "",
        f"Attributes: {', '.join(f'`{name}`' for name in attributes)}.",
        "",
    ]
    return "\n".join(parts)


def main() -> int:
    """Write the pages; return an exit status."""
    for name, text in pages().items():
        (REFERENCE / name).write_text(text)
    return 0


if __name__ == "__main__":
    sys.exit(main())
