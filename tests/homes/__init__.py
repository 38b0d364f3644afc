"""Tests of the scheduling decisions of homes."""
