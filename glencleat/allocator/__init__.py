"""The allocator's core on the Mesos and REST path: passes events to the policy and carries out its actions.

It imports the interface and the message schemas, never sockets: servers call it with parsed calls and pass it
the streams to write to; clock and timers are arguments. What is decided here and not by the policy is in
`delivery_status` (attempts that may or may not have run), `agent_membership`, `frameworks` and `admission`;
none of these does I/O or reads a clock.
"""
