"""The invariants, checked from recorded socket traffic alone.

Emulators write a trace (`trace`); `invariants` and the `*_bounds` modules check it without knowledge of how
the allocator decides.
"""
