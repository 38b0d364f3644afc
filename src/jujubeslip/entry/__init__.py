"""The entry process: HTTP for clients and endpoints, Thrift for the other processes."""

from jujubeslip.entry._process import run_entry

__all__ = ["run_entry"]
