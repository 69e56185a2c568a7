"""A seeded play of allocator processes among hosts whose processes are replaced; see `__main__.py`."""
