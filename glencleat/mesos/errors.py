"""Root of the package's errors."""


class MesosProtocolError(Exception):
    """Root of the errors of framing, messages and HTTP; by far most are the peer's fault."""
