"""The entry process: HTTP to clients and endpoints, Thrift to the other processes."""

from jujubeslip.entry._process import run_entry

__all__ = ["run_entry"]
