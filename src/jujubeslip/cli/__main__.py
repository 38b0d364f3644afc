"""`python -m jujubeslip.cli` is the same as `jujubeslip`."""

from jujubeslip.cli import main

main()
