"""Joins lines and schema: a file becomes a Config, or one ConfigError with every fault in it."""

from __future__ import annotations

from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any, TypeVar

from pydantic import BaseModel, ValidationError

from glencleat.config.lines import ConfigFault, ConfigLine, read_lines
from glencleat.config.schema import AllocatorConfig


class ConfigError(Exception):
    """The file can't be used; `faults` says where and why, all at once."""

    def __init__(self, faults: list[ConfigFault]) -> None:
        super().__init__("\n".join(map(str, faults)))
        self.faults = faults


# keyword -> (positional fields, setting, whether there may be several); `name value` pairs follow
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
LISTEN_KEYWORDS = {
    "owners": "owners",
    "agents": "agents",
    "metrics": "metrics",
    "rest": "rest_listen",
}  # its setting


@dataclass(frozen=True, slots=True)
class KeywordTables:
    """Which lines a kind of file may have."""

    record_keywords: dict[str, tuple[tuple[str, ...], str, bool]]
    value_keywords: dict[str, str]
    listen_keywords: Mapping[str, str] = field(default_factory=dict)

    def keywords(self) -> list[str]:
        return sorted(
            [
                *self.record_keywords,
                *self.value_keywords,
                *(["listen"] if self.listen_keywords else []),
                "include",
            ]
        )


class ConfigReader:
    """Gathers what the lines say, and which line said what."""

    def __init__(self, path: Path, tables: KeywordTables) -> None:
        self.path, self.tables = path, tables
        self.values: dict[str, Any] = {}
        self.lines_by_location: dict[tuple[str | int, ...], ConfigLine] = {}
        self.faults: list[ConfigFault] = []

    def add_fault(self, line: ConfigLine, setting: str, text: str) -> None:
        self.faults.append(ConfigFault(line.file, line.number, setting, text))

    def read_line(self, line: ConfigLine) -> None:
        word, rest = line.words[0], line.words[1:]
        if word in self.tables.record_keywords:
            self._pairs(line, word, list(rest))
        elif word == "listen" and self.tables.listen_keywords:
            if len(rest) != 2 or rest[0] not in self.tables.listen_keywords:
                self.add_fault(
                    line, "listen", f"expected one of {', '.join(self.tables.listen_keywords)} and HOST:PORT"
                )
            else:
                self._one(line, f"listen {rest[0]}", self.tables.listen_keywords[rest[0]], rest[1])
        elif word in self.tables.value_keywords:
            if len(rest) != 1:
                self.add_fault(line, word, f"{len(rest)} values; expected one")
            else:
                self._one(line, word, self.tables.value_keywords[word], rest[0])
        else:
            self.add_fault(
                line, word[:40], f"no such setting; expected one of {', '.join(self.tables.keywords())}"
            )

    def _one(self, line: ConfigLine, shown: str, key: str, value: Any) -> None:
        if key in self.values:
            before = self.lines_by_location[key,]
            self.add_fault(line, shown, f"is there twice, first at {before.file}:{before.number}")
            return
        self.values[key] = value
        self.lines_by_location[key,] = line

    def _pairs(self, line: ConfigLine, word: str, rest: list[str]) -> None:
        positional, key, many = self.tables.record_keywords[word]
        if len(rest) < len(positional) or (len(rest) - len(positional)) % 2:
            names = " ".join(p.upper() for p in positional)
            self.add_fault(
                line, word, f"expected {word} {names}{' ' if names else ''}and pairs of a name and a value"
            )
            return
        record = dict(zip(positional, rest, strict=False))
        pairs = rest[len(positional) :]
        for name, value in zip(pairs[::2], pairs[1::2], strict=True):
            field = name.replace("-", "_")
            if field in record:
                self.add_fault(line, f"{word} {name}", "is there twice on one line")
            record[field] = value
        if many:
            items = self.values.setdefault(key, [])
            self.lines_by_location[key, len(items)] = line
            items.append(record)
        else:
            self._one(line, word, key, record)

    def find_line(self, loc: tuple[str | int, ...]) -> ConfigLine:
        for length in (2, 1):
            if loc[:length] in self.lines_by_location:
                return self.lines_by_location[loc[:length]]
        return ConfigLine(str(self.path), 0, ())

    def describe_location(self, loc: tuple[str | int, ...]) -> str:
        """A place in the schema as the file writes it."""
        names = {key: word for word, (_, key, _) in self.tables.record_keywords.items()}
        names |= {key: word for word, key in self.tables.value_keywords.items()}
        names |= {key: f"listen {name}" for name, key in self.tables.listen_keywords.items()}
        words = [names.get(part, part.replace("_", "-")) for part in loc if isinstance(part, str)]
        return " ".join(words) or "file"


SchemaT = TypeVar("SchemaT", bound=BaseModel)


def load_as(
    schema: type[SchemaT],
    tables: KeywordTables,
    path: Path,
    edit_values: Callable[[dict[str, Any]], None] = lambda said: None,
) -> SchemaT:
    """Reads and checks a file; raises ConfigError. `edit_values` may alter what was said before the check."""
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
                text = "no such setting here"
            reader.add_fault(reader.find_line(item["loc"]), reader.describe_location(item["loc"]), text)
    if reader.faults:
        raise ConfigError(sorted(reader.faults, key=lambda f: (f.file, f.line)))
    return config


def load(path: Path, edit_values: Callable[[dict[str, Any]], None] = lambda said: None) -> AllocatorConfig:
    """An allocator's configuration; raises ConfigError with every fault in it."""
    return load_as(
        AllocatorConfig, KeywordTables(RECORD_KEYWORDS, VALUE_KEYWORDS, LISTEN_KEYWORDS), path, edit_values
    )
