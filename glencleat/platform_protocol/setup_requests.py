"""Parser of clients' set-ups: checks each against the settings and makes a typed request of it.

Imports the codec and the interface. Stateless: nothing here depends on earlier messages. The exchange calls
it and answers a set-up that fails here with a release of the cause INVALID_CONTENTS.
"""

from __future__ import annotations

from dataclasses import dataclass

from glencleat import interface as api
from glencleat.platform_protocol import messages as m

MAX_TEXT_CHARACTERS = 128  # of a name, a key, a service
MAX_WAIT_MS = 3_600_000.0  # an hour
MAX_WAIT_DIGITS = 10  # beyond, not even parsed
MAX_NUMBER_CHARACTERS = 40  # of cores and memory; the rest is cut off


class SetupError(m.PlatformProtocolError):
    """A set-up that is a valid message, yet can't be used; its client is answered so."""


@dataclass(frozen=True, slots=True, kw_only=True)
class SetupRequest:
    """One set-up: what goes on to a host unchanged, and what the decision module is asked."""

    task: int
    task_class: api.TaskClass
    name: bytes
    idempotency_key: bytes | None
    description: bytes
    wait_ms: float  # from when the client sent it
    is_retry: bool
    tenant: str | None
    service: str
    cores: float
    memory: float
    current_host: str | None  # re-registration: the host that runs it already, so that no answer is owed


class SetupParser:
    """Parses set-ups under one configuration's settings."""

    def __init__(self, settings: api.Settings) -> None:
        self.classes_by_name = {task_class.name: task_class for task_class in settings.classes}
        sizes = list(settings.machine_sizes.values())
        self.max_cores = max(size.cores for size in sizes) * settings.cores_overcommit
        self.max_memory = max(size.memory for size in sizes) * settings.memory_overcommit

    def parse(self, message: m.PlatformMessage) -> SetupRequest:
        """Returns the set-up.

        Raises:
            SetupError: Something in it is absent, unreadable or out of range; the text says what.
        """
        try:
            return self._parse(message)
        except m.RemoteProtocolError as error:
            raise SetupError(error.reason) from error

    def _parse(self, message: m.PlatformMessage) -> SetupRequest:
        if not message.task:
            raise SetupError("no id")
        task_class = self._parse_class(message)
        name = self._require_text(message, m.NAME, "name")
        extras = m.parse_fields(message.text(m.EXTRAS) or "")
        key = message.text(m.KEY)
        if task_class.idempotency is api.Idempotency.IDEMPOTENCY_KEY and not key:
            raise SetupError("no key in a keyed class")
        current_host = extras.get("at")
        if m.DESCRIPTION not in message.parameters:
            raise SetupError("no description")
        for text in (name, key, extras.get("service"), current_host, message.text(m.TENANT)):
            if text is not None and len(text) > MAX_TEXT_CHARACTERS:
                raise SetupError("a text that is too long")
        if not extras.get("service"):
            raise SetupError("no service")
        return SetupRequest(
            task=message.task,
            task_class=task_class,
            name=name.encode(),
            idempotency_key=key.encode() if key else None,
            description=message.parameters[m.DESCRIPTION],
            wait_ms=self._parse_wait_ms(message, current_host),
            is_retry=message.text(m.RETRY) == "1",
            tenant=message.text(m.TENANT) or None,
            service=extras["service"],
            cores=self._parse_amount(extras, "cores", self.max_cores),
            memory=self._parse_amount(extras, "memory", self.max_memory),
            current_host=current_host,
        )

    def _parse_class(self, message: m.PlatformMessage) -> api.TaskClass:
        name = self._require_text(message, m.CLASS, "class")
        task_class = self.classes_by_name.get(name)
        if task_class is None:
            raise SetupError(f"no class {name!r}")
        return task_class

    @staticmethod
    def _require_text(message: m.PlatformMessage, code: int, label: str) -> str:
        text = message.text(code)
        if not text:
            raise SetupError(f"no {label}")
        return text

    @staticmethod
    def _parse_wait_ms(message: m.PlatformMessage, current_host: str | None) -> float:
        text = message.text(m.WAIT)
        if current_host is not None and text is None:
            return 0.0
        is_readable = text is not None and len(text) <= MAX_WAIT_DIGITS and text.isdecimal()
        if text is None or not is_readable or not (current_host or 0 < int(text) <= MAX_WAIT_MS):
            raise SetupError(f"no time to wait: {text and text[: m.ERROR_EXCERPT_CHARACTERS]!r}")
        return float(text)

    @staticmethod
    def _parse_amount(extras: dict[str, str], name: str, maximum: float) -> float:
        """Returns an amount of cores or memory that some machine could take, by the settings."""
        value = m.parse_number(extras.get(name, "")[:MAX_NUMBER_CHARACTERS])
        if not 0.0 < value <= maximum:
            raise SetupError(f"{name} out of range: {value}")
        return value
