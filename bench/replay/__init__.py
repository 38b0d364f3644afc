"""Simulates load patterns against the grant decisions, in virtual time.

`python -m bench.replay` runs patterns of load with random requests against the grant
queue of the leader, without processes or sockets, and prints what the callers received.
"""
