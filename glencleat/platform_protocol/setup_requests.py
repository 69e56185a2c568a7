"""Parses a client's set-ups and validates them against the settings.

Imports messages and the interface. The exchange calls it; a result depends on the message and the settings
alone.
"""

from __future__ import annotations

from dataclasses import dataclass

from glencleat import interface as api
from glencleat.platform_protocol import messages as m

MAX_TEXT_LENGTH = 128  # characters of a name, key, service, tenant or host
MAX_TIMEOUT_MS = 3_600_000.0


class SetupError(Exception):
    """A well-formed message that is not a valid set-up.

    The exchange logs the text and answers the client with a release.
    """


@dataclass(frozen=True, slots=True)
class SetupRequest:
    """A validated set-up: the fields forwarded to a host, and those that the policy decides by."""

    task_id: int
    task_class: api.TaskClass
    name: bytes
    key: bytes | None
    description: bytes
    timeout_ms: float  # counted from when the client sent the set-up
    is_retry: bool
    tenant: str | None
    service: str
    cores: float
    memory: float
    machine: str | None  # if set, the task already runs on it, and the client expects no answer


class SetupReader:
    """Reads set-ups and checks them against one allocator's settings."""

    def __init__(self, settings: api.Settings) -> None:
        self.classes_by_name = {task_class.name: task_class for task_class in settings.classes}
        sizes = list(settings.machine_sizes.values())
        self.max_cores = max(size.cores for size in sizes) * settings.cores_overcommit
        self.max_memory = max(size.memory for size in sizes) * settings.memory_overcommit

    def read(self, message: m.PlatformMessage) -> SetupRequest:
        """Returns the validated set-up.

        Raises:
            SetupError: It can't be used; the message says why.
        """
        try:
            return self._parse_request(message)
        except m.ProtocolError as error:
            raise SetupError(str(error)) from None

    def _parse_request(self, message: m.PlatformMessage) -> SetupRequest:
        if not message.task_id:
            raise SetupError("the task id is 0")
        task_class = self.classes_by_name.get(self._get_required(message, m.CLASS, "class"))
        if task_class is None:
            raise SetupError(f"class {message.get_text(m.CLASS)!r} does not exist")
        name, extras = (
            self._get_required(message, m.NAME, "name"),
            m.parse_fields(message.get_text(m.EXTRAS) or ""),
        )
        key = message.get_text(m.KEY)
        if task_class.idempotency is api.Idempotency.IDEMPOTENCY_KEY and not key:
            raise SetupError(f"class {task_class.name!r} requires an idempotency key")
        machine = extras.get("at")
        if m.DESCRIPTION not in message.parameters:
            raise SetupError("the description is missing")
        for text in (name, key, extras.get("service"), machine, message.get_text(m.TENANT)):
            if text is not None and len(text) > MAX_TEXT_LENGTH:
                raise SetupError(f"a text of {len(text)} characters; at most {MAX_TEXT_LENGTH} are allowed")
        if not extras.get("service"):
            raise SetupError("the service is missing")
        return SetupRequest(
            message.task_id,
            task_class,
            name.encode(),
            key.encode() if key else None,
            message.parameters[m.DESCRIPTION],
            self._read_timeout(message, machine),
            message.get_text(m.RETRY) == "1",
            message.get_text(m.TENANT) or None,
            extras["service"],
            self._read_amount(extras, "cores", self.max_cores),
            self._read_amount(extras, "memory", self.max_memory),
            machine,
        )

    @staticmethod
    def _get_required(message: m.PlatformMessage, code: int, label: str) -> str:
        text = message.get_text(code)
        if not text:
            raise SetupError(f"the {label} is missing")
        return text

    @staticmethod
    def _read_timeout(message: m.PlatformMessage, machine: str | None) -> float:
        text = message.get_text(m.TIMEOUT)
        if machine is not None and text is None:
            return 0.0
        is_number = text is not None and len(text) <= 10 and text.isdecimal()
        # For a task that already runs any number is accepted, and not used.
        if text is None or not is_number or not (machine or 0 < int(text) <= MAX_TIMEOUT_MS):
            raise SetupError(f"missing or invalid timeout: {text and text[:40]!r}")
        return float(text)

    @staticmethod
    def _read_amount(extras: dict[str, str], name: str, max_value: float) -> float:
        """Reads an amount of a resource; the largest machine with overcommit is the upper bound."""
        value = m.parse_number(extras.get(name, "")[:40])
        if not 0.0 < value <= max_value:
            raise SetupError(f"{name} out of range: {value} is not between 0 and {max_value}")
        return value
