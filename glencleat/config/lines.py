"""Reads configuration lines: words, "quoted words", `#` comments, a `\\` at the end goes on, `include FILE`.

No meaning here: a line becomes its words with their file and line. Includes are relative to the file that
names them, may nest `DEPTH` deep and never in a circle."""

from __future__ import annotations

import shlex
from dataclasses import dataclass
from pathlib import Path

DEPTH, BYTES_MOST, LINES_MOST = 8, 1 << 20, 20_000


@dataclass(frozen=True, slots=True)
class ConfigLine:
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


def read_lines(path: Path) -> tuple[list[ConfigLine], list[ConfigFault]]:
    lines: list[ConfigLine] = []
    faults: list[ConfigFault] = []
    _read(path, ("", 0), (), lines, faults)
    return lines, faults


def _read(
    path: Path,
    asked: tuple[str, int],
    inside: tuple[Path, ...],
    lines: list[ConfigLine],
    faults: list[ConfigFault],
) -> None:
    where = (asked[0] or str(path), asked[1])
    if path.resolve() in inside or len(inside) >= DEPTH:
        faults.append(ConfigFault(*where, "include", f"{path} includes itself, or is more than {DEPTH} deep"))
        return
    try:
        data = path.read_bytes()
        text = data.decode("utf-8")
    except OSError as error:
        faults.append(
            ConfigFault(*where, "include" if inside else "file", f"can't read {path}: {error.strerror}")
        )
        return
    except UnicodeDecodeError as error:
        number = data[: error.start].count(b"\n") + 1
        faults.append(ConfigFault(str(path), number, "file", "is not UTF-8"))
        return
    if len(data) > BYTES_MOST or len(lines) > LINES_MOST:
        faults.append(
            ConfigFault(str(path), 1, "file", f"is over {BYTES_MOST} bytes or {LINES_MOST} lines in all")
        )
        return
    for number, joined in _joined(text):
        try:
            words = tuple(shlex.split(joined, comments=True))
        except ValueError as error:
            faults.append(
                ConfigFault(str(path), number, "line", f"{error}; expected each quote to be closed")
            )
            continue
        if words and words[0] == "include":
            if len(words) != 2:
                faults.append(
                    ConfigFault(str(path), number, "include", f"{len(words) - 1} words; expected one file")
                )
                continue
            target = path.parent / words[1]
            _read(target, (str(path), number), (*inside, path.resolve()), lines, faults)
        elif words:
            lines.append(ConfigLine(str(path), number, words))


def _joined(text: str) -> list[tuple[int, str]]:
    """Lines with their numbers, those that end in a backslash joined to the next."""
    found, begun, number = [], "", 0
    for at, line in enumerate(text.splitlines(), 1):
        number = number if begun else at
        if line.endswith("\\"):
            begun += line[:-1] + " "
            continue
        found.append((number, begun + line))
        begun = ""
    if begun:
        found.append((number, begun))
    return found
