"""Tests of the homes' decisions."""
