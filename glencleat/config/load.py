"""Loads a configuration file into a typed model, or raises one ConfigError with all faults of the file."""

from __future__ import annotations

from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any, TypeVar

from pydantic import BaseModel, ValidationError

from glencleat.config.lines import ConfigFault, ConfigLine, read_lines
from glencleat.config.schema import AllocatorConfig


class ConfigError(Exception):
    """The file can't be used. `faults` holds all its faults; a caller of `load` gets them in file order."""

    def __init__(self, faults: list[ConfigFault]) -> None:
        super().__init__("\n".join(map(str, faults)))
        self.faults = faults


# Keyword -> (positional fields, setting, whether it may be repeated). Pairs of a name and a value follow the
# positional fields.
RECORD_KEYWORDS: dict[str, tuple[tuple[str, ...], str, bool]] = {
    "allocator": (("name",), "allocator", False),
    "class": (("name",), "classes", True),
    "kind": (("name",), "kinds", True),
    "accept": ((), "accept", False),
    "reports": ((), "reports", False),
    "cold": ((), "cold", False),
    "heartbeat": ((), "heartbeat", False),
    "limit": ((), "limit", False),
    "rest": ((), "rest", False),
    "log": ((), "log", False),
    "keep-list": (("file",), "keep_list", False),
}
# Keyword -> setting, for lines of a keyword and one value.
VALUE_KEYWORDS = {
    "directory": "directory",
    "default-class": "default_class",
    "pool": "pool",
    "attempts": "attempts",
    "drain": "drain",
    "answer-margin": "answer_margin",
    "shutdown": "shutdown",
    "grace": "grace",
    "probe-timeout": "probe_timeout",
}
# Interface -> setting, for lines `listen INTERFACE HOST:PORT`.
LISTEN_KEYWORDS = {
    "owners": "owners",
    "agents": "agents",
    "metrics": "metrics",
    "rest": "rest_listen",
}


@dataclass(frozen=True, slots=True)
class KeywordTables:
    """The lines that a kind of file may have; see RECORD_KEYWORDS, VALUE_KEYWORDS and LISTEN_KEYWORDS."""

    record_keywords: dict[str, tuple[tuple[str, ...], str, bool]]
    value_keywords: dict[str, str]
    listen_keywords: Mapping[str, str] = field(default_factory=dict)

    def keywords(self) -> list[str]:
        """All words that a line may begin with, sorted."""
        return sorted(
            [
                *self.record_keywords,
                *self.value_keywords,
                *(["listen"] if self.listen_keywords else []),
                "include",
            ]
        )


class ConfigReader:
    """Collects the values that lines set, the line that set each, and the faults.

    `values` is what the schema validates. `lines_by_location` has the location of a value there, as pydantic
    reports it in errors, for its key.
    """

    def __init__(self, path: Path, tables: KeywordTables) -> None:
        self.path, self.tables = path, tables
        self.values: dict[str, Any] = {}
        self.lines_by_location: dict[tuple[str | int, ...], ConfigLine] = {}
        self.faults: list[ConfigFault] = []

    def add_fault(self, line: ConfigLine, setting: str, text: str) -> None:
        """Record a fault of a setting at a line."""
        self.faults.append(ConfigFault(line.file, line.number, setting, text))

    def read_line(self, line: ConfigLine) -> None:
        """Take the values of a line; what is wrong with it becomes a fault."""
        keyword, arguments = line.words[0], line.words[1:]
        if keyword in self.tables.record_keywords:
            self._read_record(line, keyword, list(arguments))
        elif keyword == "listen" and self.tables.listen_keywords:
            if len(arguments) != 2 or arguments[0] not in self.tables.listen_keywords:
                self.add_fault(
                    line, "listen", f"expected one of {', '.join(self.tables.listen_keywords)} and HOST:PORT"
                )
            else:
                self._set_value(
                    line, f"listen {arguments[0]}", self.tables.listen_keywords[arguments[0]], arguments[1]
                )
        elif keyword in self.tables.value_keywords:
            if len(arguments) != 1:
                self.add_fault(line, keyword, f"{len(arguments)} values; expected one")
            else:
                self._set_value(line, keyword, self.tables.value_keywords[keyword], arguments[0])
        else:
            self.add_fault(
                line, keyword[:40], f"unknown setting; expected one of {', '.join(self.tables.keywords())}"
            )

    def _set_value(self, line: ConfigLine, shown_name: str, key: str, value: Any) -> None:
        """Set a value that a file may set once; a second line for it is a fault."""
        if key in self.values:
            first_line = self.lines_by_location[key,]
            self.add_fault(line, shown_name, f"is set twice, first at {first_line.file}:{first_line.number}")
            return
        self.values[key] = value
        self.lines_by_location[key,] = line

    def _read_record(self, line: ConfigLine, keyword: str, arguments: list[str]) -> None:
        """Read a line of positional fields and pairs of a name and a value into a dictionary."""
        positional, key, is_repeatable = self.tables.record_keywords[keyword]
        if len(arguments) < len(positional) or (len(arguments) - len(positional)) % 2:
            names = " ".join(field.upper() for field in positional)
            self.add_fault(
                line,
                keyword,
                f"expected {keyword} {names}{' ' if names else ''}and pairs of a name and a value",
            )
            return
        record = dict(zip(positional, arguments, strict=False))
        pairs = arguments[len(positional) :]
        for name, value in zip(pairs[::2], pairs[1::2], strict=True):
            field_name = name.replace("-", "_")
            if field_name in record:
                self.add_fault(line, f"{keyword} {name}", "is set twice on one line")
            record[field_name] = value
        if is_repeatable:
            items = self.values.setdefault(key, [])
            self.lines_by_location[key, len(items)] = line
            items.append(record)
        else:
            self._set_value(line, keyword, key, record)

    def find_line(self, location: tuple[str | int, ...]) -> ConfigLine:
        """The line that set the value at a location of the schema; line 0 of the file if none did."""
        for length in (2, 1):
            if location[:length] in self.lines_by_location:
                return self.lines_by_location[location[:length]]
        return ConfigLine(str(self.path), 0, ())

    def describe_location(self, location: tuple[str | int, ...]) -> str:
        """A location of the schema in the words of the file, such as `class aim`; `file` for all of it."""
        names = {key: keyword for keyword, (_, key, _) in self.tables.record_keywords.items()}
        names |= {key: keyword for keyword, key in self.tables.value_keywords.items()}
        names |= {key: f"listen {interface}" for interface, key in self.tables.listen_keywords.items()}
        words = [names.get(part, part.replace("_", "-")) for part in location if isinstance(part, str)]
        return " ".join(words) or "file"


SchemaT = TypeVar("SchemaT", bound=BaseModel)


def load_as(
    schema: type[SchemaT],
    tables: KeywordTables,
    path: Path,
    edit_values: Callable[[dict[str, Any]], None] = lambda values: None,
) -> SchemaT:
    """Read a file and validate it against `schema`; raises ConfigError with all faults of the file.

    `edit_values` may change the values that were read before they are validated.
    """
    lines, faults = read_lines(path)
    reader = ConfigReader(path, tables)
    reader.faults += faults
    for line in lines:
        reader.read_line(line)
    edit_values(reader.values)
    try:
        config = schema.model_validate(reader.values)
    except ValidationError as error:
        for item in error.errors(include_url=False):
            text = item["msg"].removeprefix("Value error, ")
            if item["type"] == "missing":
                text = "is missing"
            elif item["type"] == "extra_forbidden":
                text = "unknown setting"
            reader.add_fault(reader.find_line(item["loc"]), reader.describe_location(item["loc"]), text)
    if reader.faults:
        raise ConfigError(sorted(reader.faults, key=lambda fault: (fault.file, fault.line)))
    return config


def load(path: Path, edit_values: Callable[[dict[str, Any]], None] = lambda values: None) -> AllocatorConfig:
    """The configuration of an allocator; raises ConfigError as `load_as` does."""
    return load_as(
        AllocatorConfig, KeywordTables(RECORD_KEYWORDS, VALUE_KEYWORDS, LISTEN_KEYWORDS), path, edit_values
    )
