r"""Reads configuration lines: words, "quoted words", `#` comments, a `\` at the end goes on, `include FILE`.

No meaning here: a line becomes its words with their file and line. Includes are relative to the file that
names them, may nest `MAX_INCLUDE_DEPTH` deep and never in a circle.
"""

from __future__ import annotations

import shlex
from dataclasses import dataclass
from pathlib import Path

MAX_INCLUDE_DEPTH = 8
MAX_FILE_BYTES = 1 << 20
MAX_LINES = 20_000  # of all files together
INCLUDE_WORDS = 2  # the keyword and its file


@dataclass(frozen=True, slots=True)
class ConfigLine:
    """The words of one line, and where it stands."""

    file: str
    number: int
    words: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class ConfigFault:
    """What is wrong where, and what was expected."""

    file: str
    line: int
    setting: str
    text: str

    def __str__(self) -> str:
        return f"{self.file}:{self.line}: {self.setting}: {self.text}"


def read(path: Path) -> tuple[list[ConfigLine], list[ConfigFault]]:
    """Return the lines of a file and of those that it includes, and what could not be read."""
    reader = LineReader()
    reader.read_file(path, ConfigLine(str(path), 0, ()), ())
    return reader.lines, reader.faults


class LineReader:
    """Gathers the lines and faults of a file and its includes, in the order in which they stand."""

    def __init__(self) -> None:
        self.lines: list[ConfigLine] = []
        self.faults: list[ConfigFault] = []

    def read_file(self, path: Path, origin: ConfigLine, including: tuple[Path, ...]) -> None:
        """Read a file that `origin` names; `including` are the files around it, from the outermost."""
        if path.resolve() in including or len(including) >= MAX_INCLUDE_DEPTH:
            text = f"{path} includes itself, or is more than {MAX_INCLUDE_DEPTH} deep"
            self.faults.append(ConfigFault(origin.file, origin.number, "include", text))
            return
        content = self._read_text(path, origin, "include" if including else "file")
        if content is None:
            return
        for number, joined in _join_continued_lines(content):
            try:
                words = tuple(shlex.split(joined, comments=True))
            except ValueError as error:
                text = f"{error}; expected each quote to be closed"
                self.faults.append(ConfigFault(str(path), number, "line", text))
                continue
            line = ConfigLine(str(path), number, words)
            if words and words[0] == "include":
                self._include(path, line, including)
            elif words:
                self.lines.append(line)

    def _read_text(self, path: Path, origin: ConfigLine, setting: str) -> str | None:
        """Return the text of a file, None after a fault."""
        try:
            data = path.read_bytes()
            text = data.decode("utf-8")
        except OSError as error:
            reason = f"can't read {path}: {error.strerror}"
            self.faults.append(ConfigFault(origin.file, origin.number, setting, reason))
            return None
        except UnicodeDecodeError as error:
            number = data[: error.start].count(b"\n") + 1
            self.faults.append(ConfigFault(str(path), number, "file", "is not UTF-8"))
            return None
        if len(data) > MAX_FILE_BYTES or len(self.lines) > MAX_LINES:
            reason = f"is over {MAX_FILE_BYTES} bytes or {MAX_LINES} lines in all"
            self.faults.append(ConfigFault(str(path), 1, "file", reason))
            return None
        return text

    def _include(self, path: Path, line: ConfigLine, including: tuple[Path, ...]) -> None:
        if len(line.words) != INCLUDE_WORDS:
            text = f"{len(line.words) - 1} words; expected one file"
            self.faults.append(ConfigFault(line.file, line.number, "include", text))
            return
        self.read_file(path.parent / line.words[1], line, (*including, path.resolve()))


def _join_continued_lines(text: str) -> list[tuple[int, str]]:
    """Return lines with their numbers, those that end in a backslash joined to the next."""
    joined_lines = []
    begun = ""  # of a line that goes on
    first_number = 0
    for number, line in enumerate(text.splitlines(), 1):
        if not begun:
            first_number = number
        if line.endswith("\\"):
            begun += line[:-1] + " "
            continue
        joined_lines.append((first_number, begun + line))
        begun = ""
    if begun:
        joined_lines.append((first_number, begun))
    return joined_lines
