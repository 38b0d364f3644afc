"""Tests of the control host."""
