"""Test suites, a folder per concern."""
