"""Splits configuration files into lines of words.

The syntax is that of a shell: words, "quoted words", comments from `#` on, and a backslash that joins a line
to the next. `include FILE` reads another file in its place; FILE is relative to the file that includes it.
Includes nest up to `MAX_INCLUDE_DEPTH` files deep, and a file can't include itself. The words have no meaning
in this module.
"""

from __future__ import annotations

import shlex
from dataclasses import dataclass
from pathlib import Path

MAX_INCLUDE_DEPTH = 8  # files, the first one included
MAX_FILE_BYTES = 1 << 20
MAX_LINES = 20_000  # of the files before; no further file is read beyond it


@dataclass(frozen=True, slots=True)
class ConfigLine:
    """The words of a line, and where it begins: its file and its number, from 1."""

    file: str
    number: int
    words: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class ConfigFault:
    """An error in a configuration file: its place, the setting, and what was found and expected there."""

    file: str
    line: int
    setting: str
    text: str

    def __str__(self) -> str:
        return f"{self.file}:{self.line}: {self.setting}: {self.text}"


def read_lines(path: Path) -> tuple[list[ConfigLine], list[ConfigFault]]:
    """All lines of the file and of those that it includes, in order, and the faults of their syntax."""
    lines: list[ConfigLine] = []
    faults: list[ConfigFault] = []
    _read_file(path, ("", 0), (), lines, faults)
    return lines, faults


def _read_file(
    path: Path,
    include_location: tuple[str, int],
    including_files: tuple[Path, ...],
    lines: list[ConfigLine],
    faults: list[ConfigFault],
) -> None:
    """Append the lines and faults of a file and of those that it includes.

    `include_location` is the file and line that include it, ("", 0) for the first file; `including_files` are
    the files from the first one down to it.
    """
    location = (include_location[0] or str(path), include_location[1])
    if path.resolve() in including_files or len(including_files) >= MAX_INCLUDE_DEPTH:
        faults.append(
            ConfigFault(
                *location,
                "include",
                f"{path} includes itself, or is nested more than {MAX_INCLUDE_DEPTH} files deep",
            )
        )
        return
    try:
        data = path.read_bytes()
        text = data.decode("utf-8")
    except OSError as error:
        faults.append(
            ConfigFault(
                *location, "include" if including_files else "file", f"can't read {path}: {error.strerror}"
            )
        )
        return
    except UnicodeDecodeError as error:
        number = data[: error.start].count(b"\n") + 1
        faults.append(ConfigFault(str(path), number, "file", "is not UTF-8"))
        return
    if len(data) > MAX_FILE_BYTES or len(lines) > MAX_LINES:
        faults.append(
            ConfigFault(
                str(path),
                1,
                "file",
                f"has over {MAX_FILE_BYTES} bytes, or the files before it have over {MAX_LINES} lines",
            )
        )
        return
    for number, line in _join_continued_lines(text):
        try:
            words = tuple(shlex.split(line, comments=True))
        except ValueError as error:
            faults.append(
                ConfigFault(str(path), number, "line", f"{error}; expected a closing quotation mark")
            )
            continue
        if words and words[0] == "include":
            if len(words) != 2:
                faults.append(
                    ConfigFault(str(path), number, "include", f"{len(words) - 1} files; expected one file")
                )
                continue
            target = path.parent / words[1]
            _read_file(target, (str(path), number), (*including_files, path.resolve()), lines, faults)
        elif words:
            lines.append(ConfigLine(str(path), number, words))


def _join_continued_lines(text: str) -> list[tuple[int, str]]:
    """Lines with the numbers that they begin at; a line that ends in a backslash is joined to the next."""
    joined_lines, unfinished_line, first_number = [], "", 0
    for number, line in enumerate(text.splitlines(), 1):
        first_number = first_number if unfinished_line else number
        if line.endswith("\\"):
            unfinished_line += line[:-1] + " "
            continue
        joined_lines.append((first_number, unfinished_line + line))
        unfinished_line = ""
    if unfinished_line:
        joined_lines.append((first_number, unfinished_line))
    return joined_lines
