"""Simulations of the limits of client accounts over many hosts, with faults."""
