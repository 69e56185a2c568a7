"""Sends hosts the acknowledgements of their releases; `release_acknowledgements.py` decides when."""

from __future__ import annotations

from collections.abc import Callable

from glencleat.event_loop import Loop
from glencleat.platform_protocol import messages as m
from glencleat.platform_server.host_connection import HostConnection
from glencleat.platform_server.release_acknowledgements import (
    ACKNOWLEDGEMENT_CHECK_MS,
    ReleaseAcknowledgements,
)


class ReleaseAcknowledger:
    """Acknowledges releases at once, or looks from time to time whether they are still owed."""

    def __init__(self, loop: Loop, is_owed: Callable[[str, int], bool]) -> None:
        """Starts with nothing to acknowledge; `is_owed` as for `ReleaseAcknowledgements`."""
        self.loop = loop
        self.deferred: ReleaseAcknowledgements[HostConnection] = ReleaseAcknowledgements(is_owed)
        self.is_check_scheduled = False

    def handle_release(self, connection: HostConnection, task_id: int) -> None:
        """Acknowledges a release that came on the connection, at once or once it is owed no more."""
        if not self.deferred.must_defer(connection.host.name, task_id, connection):
            connection.write(m.encode(m.RELEASE_COMPLETE, task_id))
        elif not self.is_check_scheduled:
            self._schedule_check()

    def _schedule_check(self) -> None:
        self.is_check_scheduled = True
        self.loop.call_in(ACKNOWLEDGEMENT_CHECK_MS, self._check)

    def _check(self) -> None:
        self.is_check_scheduled = False
        for connection, task_id in self.deferred.take_settled():
            candidates = (connection, *connection.host.connections)
            usable = next((other for other in candidates if other.is_open and not other.is_closing), None)
            if usable is not None:
                usable.write(m.encode(m.RELEASE_COMPLETE, task_id))
        if self.deferred:
            self._schedule_check()
