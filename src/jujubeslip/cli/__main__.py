"""Runs the `jujubeslip` command as `python -m jujubeslip.cli`."""

from jujubeslip.cli import main

main()
