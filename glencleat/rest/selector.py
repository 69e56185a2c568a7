"""Label selectors: parsing, matching against a resource's labels and fields, and terms for an index. Pure.

The grammar is that of Kubernetes list calls: terms joined by commas, `key=value`, `key==value`,
`key!=value`, `key in (a,b)`, `key notin (a,b)`, `key`, `!key`. Keys of fields begin with a dot.
"""

from __future__ import annotations

import re
from collections.abc import Mapping
from dataclasses import dataclass

MAX_TERMS, MAX_VALUES_PER_TERM = 16, 32
KEY_PATTERN = r"\.?[A-Za-z0-9](?:[A-Za-z0-9_./-]*[A-Za-z0-9])?"
VALUE_PATTERN = r"[A-Za-z0-9_.:*/-]*"
TERM_PATTERN = re.compile(
    rf"\s*(?:(?P<no>!)\s*(?P<absent>{KEY_PATTERN})"
    rf"|(?P<key>{KEY_PATTERN})\s*(?:(?P<op>==|!=|=)\s*(?P<value>{VALUE_PATTERN})"
    rf"|\s(?P<set>in|notin)\s*\((?P<values>[^()]*)\))?)\s*(?:,|$)"
)
FIELDS = (
    "state",
    "class",
    "service",
    "machine",
    "job",
    "framework",
    "zone",
    "phase",
    "agent",
    "kind",
    "answer",
)


class SelectorError(Exception):
    """The client's selector is malformed; the message says where and what was expected."""


@dataclass(frozen=True, slots=True, order=True)
class Term:
    """One condition; with no `values`, the key must be present or, if `must_match` is false, absent."""

    key: str
    must_match: bool
    values: tuple[str, ...] = ()

    def matches(self, labels: Mapping[str, str]) -> bool:
        """Whether the labels meet the condition."""
        value = labels.get(self.key)
        if not self.values:
            return (value is not None) is self.must_match
        return (value in self.values) is self.must_match


Selector = tuple[Term, ...]  # all terms must match; sorted, so that equivalent selectors compare equal


def parse_selector(text: str) -> Selector:
    """Parses the terms; raises SelectorError."""
    terms, position = list[Term](), 0
    while position < len(text):
        match = TERM_PATTERN.match(text, position)
        if match is None or match.end() == position:
            raise SelectorError(
                f"labelSelector: at {position} {text[position : position + 24]!r};"
                " expected key=value, key in (a,b) or !key"
            )
        terms.append(_term(match))
        position = match.end()
    if text.rstrip().endswith(","):
        raise SelectorError("labelSelector: ends with a comma; expected one more term")
    if len(terms) > MAX_TERMS:
        raise SelectorError(f"labelSelector: {len(terms)} terms; expected at most {MAX_TERMS}")
    return tuple(sorted(set(terms)))


def _term(match: re.Match[str]) -> Term:
    key = match["absent"] or match["key"]
    if key.startswith(".") and key[1:] not in FIELDS:
        raise SelectorError(f"labelSelector: {key[:40]} is no field; expected one of .{', .'.join(FIELDS)}")
    if match["absent"]:
        return Term(key, False)
    if match["op"]:
        return Term(key, match["op"] != "!=", (match["value"],))
    if match["set"]:
        values = tuple(sorted({part.strip() for part in match["values"].split(",")}))
        if len(values) > MAX_VALUES_PER_TERM or not all(
            re.fullmatch(VALUE_PATTERN, value) for value in values
        ):
            raise SelectorError(
                f"labelSelector: {key[:40]}: expected at most {MAX_VALUES_PER_TERM} plain values"
            )
        return Term(key, match["set"] == "in", values)
    return Term(key, True)


def matches(selector: Selector, labels: Mapping[str, str]) -> bool:
    """Whether the labels meet all terms."""
    return all(term.matches(labels) for term in selector)


def index_terms(selector: Selector) -> list[tuple[str, str]]:
    """The terms that an index can look up: those that require one value of a key."""
    return [(term.key, term.values[0]) for term in selector if term.must_match and len(term.values) == 1]
