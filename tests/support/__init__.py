"""Test helpers: emulated peers, recorded streams, and readers of golden files."""
