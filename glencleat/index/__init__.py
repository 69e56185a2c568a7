"""Indexes that answer "which of many" without a scan: due keys, changed keys, rendezvous-hash orders.

The package holds no decision, no tuned value and no clock, and imports nothing else of the project.
`DueQueue` and `RendezvousIndex` have a check mode that recomputes each answer; the tests turn it on.
"""
