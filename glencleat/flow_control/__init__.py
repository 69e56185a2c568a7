"""What allocators are to each other, and what many of them do to those that they all ask.

Decisions without I/O: no sockets, no clock read, no random numbers but those passed in."""
