"""A set-up of an owner, read and checked against the settings: what is taken, and what is turned away unread.

Imports messages and the interface. The exchange calls it; nothing here depends on what happened before."""

from __future__ import annotations

from dataclasses import dataclass

from glencleat import interface as api
from glencleat.platform_protocol import messages as m

MAX_TEXT_LENGTH = 128  # characters of a name, a key, a service
MAX_TIMEOUT_MS = 3_600_000.0


class SetupError(Exception):
    """Whole, yet not to be used; the owner is answered so."""


@dataclass(frozen=True, slots=True)
class SetupRequest:
    """One set-up: what goes on to a host unchanged, and what the module is asked."""

    task_id: int
    task_class: api.TaskClass
    name: bytes
    key: bytes | None
    description: bytes
    timeout_ms: float  # from when the owner sent it
    is_retry: bool
    tenant: str | None
    service: str
    cores: float
    memory: float
    machine: str | None  # the machine that holds it already: no answer is owed


class SetupReader:
    """Reads set-ups under one configuration's settings."""

    def __init__(self, settings: api.Settings) -> None:
        self.classes_by_name = {c.name: c for c in settings.classes}
        sizes = list(settings.machine_sizes.values())
        self.max_cores = max(s.cores for s in sizes) * settings.cores_overcommit
        self.max_memory = max(s.memory for s in sizes) * settings.memory_overcommit

    def read(self, message: m.PlatformMessage) -> SetupRequest:
        """The set-up; BadSetup says what is wrong with it."""
        try:
            return self._read(message)
        except m.ProtocolError as error:
            raise SetupError(str(error)) from None

    def _read(self, message: m.PlatformMessage) -> SetupRequest:
        if not message.task_id:
            raise SetupError("no id")
        cls = self.classes_by_name.get(self._need(message, m.CLASS, "class"))
        if cls is None:
            raise SetupError(f"no class {message.get_text(m.CLASS)!r}")
        name, extras = self._need(message, m.NAME, "name"), m.parse_fields(message.get_text(m.EXTRAS) or "")
        key = message.get_text(m.KEY)
        if cls.idempotency is api.Idempotency.IDEMPOTENCY_KEY and not key:
            raise SetupError("no key in a keyed class")
        at = extras.get("at")
        if m.DESCRIPTION not in message.parameters:
            raise SetupError("no description")
        for text in (name, key, extras.get("service"), at, message.get_text(m.TENANT)):
            if text is not None and len(text) > MAX_TEXT_LENGTH:
                raise SetupError("a text that is too long")
        if not extras.get("service"):
            raise SetupError("no service")
        return SetupRequest(
            message.task_id,
            cls,
            name.encode(),
            key.encode() if key else None,
            message.parameters[m.DESCRIPTION],
            self._wait(message, at),
            message.get_text(m.RETRY) == "1",
            message.get_text(m.TENANT) or None,
            extras["service"],
            self._figure(extras, "cores", self.max_cores),
            self._figure(extras, "memory", self.max_memory),
            at,
        )

    @staticmethod
    def _need(message: m.PlatformMessage, code: int, what: str) -> str:
        text = message.get_text(code)
        if not text:
            raise SetupError(f"no {what}")
        return text

    @staticmethod
    def _wait(message: m.PlatformMessage, at: str | None) -> float:
        text = message.get_text(m.TIMEOUT)
        if at is not None and text is None:
            return 0.0
        readable = text is not None and len(text) <= 10 and text.isdecimal()
        if text is None or not readable or not (at or 0 < int(text) <= MAX_TIMEOUT_MS):
            raise SetupError(f"no time to wait: {text and text[:40]!r}")
        return float(text)

    @staticmethod
    def _figure(extras: dict[str, str], name: str, most: float) -> float:
        """A figure that some machine could take, by the settings."""
        value = m.parse_number(extras.get(name, "")[:40])
        if not 0.0 < value <= most:
            raise SetupError(f"{name} out of range: {value}")
        return value
