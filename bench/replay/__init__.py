"""Replays loads against the decisions who is granted which engine, in virtual time.

`python -m bench.replay` plays patterns of load with drawn requests against the queue of
the leader, without processes or sockets, and prints what callers got.
"""
