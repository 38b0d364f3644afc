"""Limits of client accounts over many hosts, replayed with faults."""
