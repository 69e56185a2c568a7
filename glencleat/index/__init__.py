"""Structures that answer "which of many" without looking at all: no decision, no tuned value."""
