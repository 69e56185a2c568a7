"""The invariants, checked from recorded socket traffic alone.

Emulators write a trace (`trace`); `invariants` and the `*_bounds` modules judge it. They know nothing of how
the allocator decides.
"""
