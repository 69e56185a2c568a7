"""Scale tests: hollow hosts, owners and allocators around real ones, the size given as a file.

A hollow part speaks the platform's protocol on true sockets and does no work of its own. May import
`isup.messages`, the kernel and the stand-ins; never the node, the module or the allocator. Called by
`benchmarks/scale.py` and the tests."""
