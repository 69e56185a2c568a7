"""The root of the allocator's errors."""

from __future__ import annotations


class AllocatorError(Exception):
    """Something that the allocator can't do for a peer; the text says why."""
