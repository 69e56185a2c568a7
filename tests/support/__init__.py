"""Helpers of the tests: emulated peers, recorded streams, and readers of golden files."""
