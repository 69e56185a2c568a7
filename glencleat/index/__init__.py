"""Indexes: what answers "which of many" without looking at all. No decision, no tuned value, no clock.

Imports nothing of glencleat. Each has a check mode that recomputes its answers from scratch; tests turn it
on."""
