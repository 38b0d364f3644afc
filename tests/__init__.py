"""Tests of jujubeslip."""
