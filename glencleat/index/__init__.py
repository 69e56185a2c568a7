"""Indexes: data structures that find members of a large set without a full scan.

They make no decisions, hold no tuned values, read no clock and import nothing from the rest of glencleat.
Each has a self-check mode that recomputes its answers from scratch; the tests enable it.
"""
