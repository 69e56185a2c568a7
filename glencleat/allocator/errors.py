"""Base class of the allocator's errors."""

from __future__ import annotations


class AllocatorError(Exception):
    """A request of a peer that the allocator can't serve; the text says why."""
