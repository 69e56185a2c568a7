"""The allocator's core: passes events to the policy and carries out its actions.

It imports the policy's interface and the message schemas, never sockets: the API servers call it with parsed
calls and hand it streams to write to; clock and timers are arguments. Decisions that are not the policy's are
made in `delivery_status` (attempts in doubt), `agent_membership`, `frameworks` and `admission`; none of them
does I/O or reads a clock.
"""
