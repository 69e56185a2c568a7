"""Stand-ins for what the allocator serves: hosts, owners and the directory, with faults from a script.

They import protocols, kernel and the record, never the allocator, so that both sides can't share a mistake
about state."""
