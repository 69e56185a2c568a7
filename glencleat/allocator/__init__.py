"""The allocator's core: tells the module what happened and does what it says.

It imports the module's interface and the message schemas, never sockets: the fronts call it with parsed calls
and hand it links to write to; clock and timers are arguments. Decisions that are not the module's stand in
`late` (attempts whose fate is unsure), `members` (agents), `frameworks` (owners) and `admission`; none of
them does I/O or reads a clock."""
