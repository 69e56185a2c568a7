"""What the exchange needs of the sockets, the clock and the log. `platform_server` implements it."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any, Protocol

from glencleat.platform_protocol.delivery import DeliveryOutcome
from glencleat.platform_protocol.setup_calls import SetupAttempt, TimerHandle


class ExchangePorts(Protocol):
    """What the exchange needs of the sockets. None of these may call the exchange before it returns."""

    def send_to_client(self, client: Any, data: bytes, must_deliver: bool) -> None:
        """Writes a message to a client's connection.

        If that is closed, a message that `must_deliver` is written to another connection of a client that is
        known to be valid, or to the next such one.
        """

    def is_client_waiting(self, client: Any, task: int) -> bool:
        """Returns whether the client still waits for the task's answer, by all that it has sent until now."""

    def is_release_undelivered(self, task: int) -> bool:
        """Returns whether a release of the task is still to be written to a client's connection."""

    def mark_trusted(self, client: Any) -> None:
        """Marks a connection on which a task was placed, or a placed one released by its client.

        Pending releases may be written to it.
        """

    def offer_attempt(self, attempt: SetupAttempt) -> None:
        """Sends `attempt.encode_setup(now)` to its host; later reports a failure by `on_attempt_failed`."""

    def cancel_attempt(self, attempt: SetupAttempt) -> DeliveryOutcome:
        """Writes a cancellation to the host or closes the connection; returns how far the attempt had got."""

    def has_unread_bytes(self, attempt: SetupAttempt) -> bool:
        """Returns whether bytes have been received, but not read, on the attempt's connection."""

    def release_task(self, host: str, task: int) -> None:
        """Releases a placed task on its host, at once or as soon as the host can be reached."""

    def request_load_report(self, host: str, token: int) -> bool:
        """Requests a load report of the host; returns False if the request can't be sent."""

    def call_in(self, in_ms: float, call: Callable[[], None]) -> TimerHandle:
        """Schedules a callback."""

    def now(self) -> float:
        """Returns the current time in milliseconds."""

    def log(self, text: str) -> None:
        """Writes a log line."""
