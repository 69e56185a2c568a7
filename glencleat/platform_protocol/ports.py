"""The port through which the exchange uses the connections, timers, clock and log of its process."""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

from glencleat.platform_protocol.delivery import DeliveryOutcome
from glencleat.platform_protocol.setup_calls import ClientPort, SetupAttempt, TimerHandle


class ExchangePorts(Protocol):
    """What the exchange asks of the connections.

    None of these may call the exchange back before it returns.
    """

    def send_to_client(self, client: ClientPort, data: bytes, owed: bool) -> None:
        """Sends on that connection; if it is gone, what is `owed` goes by any other or by the next."""

    def is_client_waiting(self, client: ClientPort, task: int, exact: bool) -> bool:
        """Whether the client still waits for the task's answer.

        By all that had come on its connection when this round of the loop began; `exact`: by this instant, at
        the price of asking the system.
        """

    def mark_client_proven(self, client: ClientPort) -> None:
        """Notes that a task of that connection came to run.

        It is no bad client's, so releases may be sent there.
        """

    def send_attempt(self, attempt: SetupAttempt) -> None:
        """Sends `attempt.encode_setup(now)` to its host; a failure is reported later, never from within."""

    def cancel_attempt(self, attempt: SetupAttempt) -> DeliveryOutcome:
        """Takes it back, by a release or by closing its connection, and returns what is known of it."""

    def has_unread_data(self, attempt: SetupAttempt) -> bool:
        """Whether something came on the connection that it went by and has not been read."""

    def release_task(self, host: str, task: int) -> None:
        """Releases a running task at its host, at once or as soon as the host can be reached."""

    def send_probe(self, host: str, token: int) -> bool:
        """Asks the host for its load report; False if there is no connection to ask by."""

    def call_in(self, in_ms: float, call: Callable[[], None]) -> TimerHandle:
        """Calls after that time, 0 for the loop's next round."""

    def now(self) -> float:
        """Returns the decision module's clock in milliseconds."""

    def log(self, text: str) -> None:
        """Writes one line."""
