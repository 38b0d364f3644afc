"""Measurements of the cost and the latency of membership."""
