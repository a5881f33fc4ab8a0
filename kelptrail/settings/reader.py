"""Parses text into S-expressions with source positions.

The grammar has lists, words, numbers, strings and `;` comments.  `shape.py` interprets the expressions.
"""

from __future__ import annotations

from dataclasses import dataclass
from functools import cache

from lark import Lark, Token, Tree
from lark.exceptions import UnexpectedCharacters, UnexpectedEOF, UnexpectedToken

_GRAMMAR = r"""
    start: item*
    ?item: list | NUMBER | STRING | WORD
    list: "(" item* ")"
    NUMBER.2: /[+-]?(\d+(\.\d*)?|\.\d+)([eE][+-]?\d+)?(?=[\s();]|$)/
    STRING: /"(?:[^"\\\n]|\\.)*"/
    WORD: /[^\s()";]+/
    COMMENT: /;[^\n]*/
    %ignore COMMENT
    %ignore /\s+/
"""


@dataclass(frozen=True, slots=True)
class SourcePosition:
    """A position in a file; line and column count from 1."""

    file: str
    line: int
    column: int

    def __str__(self) -> str:
        return f"{self.file}:{self.line}:{self.column}"


@dataclass(frozen=True, slots=True)
class SettingsFault:
    """An error in a settings file: its position, what was found there and what was expected."""

    position: SourcePosition
    found: str
    expected: str

    def __str__(self) -> str:
        return f"{self.position}: read {self.found}, expected {self.expected}"


class SettingsError(Exception):
    """Settings are invalid; `faults` lists what is wrong, with positions."""

    def __init__(self, faults: list[SettingsFault]) -> None:
        self.faults = faults
        super().__init__("\n".join(str(fault) for fault in faults))


@dataclass(frozen=True, slots=True)
class Atom:
    """A word, a string or a number."""

    value: str | float
    kind: str  # "word", "string" or "number"
    position: SourcePosition

    def __str__(self) -> str:
        if self.kind == "number":
            return f"{self.value:g}"
        return f'"{self.value}"' if self.kind == "string" else str(self.value)


@dataclass(frozen=True, slots=True)
class Form:
    """A bracketed list of expressions, `(head item ...)`."""

    items: tuple[Atom | Form, ...]
    position: SourcePosition

    @property
    def head(self) -> str | None:
        """The first item if it is a word, else None."""
        first = self.items[0] if self.items else None
        return str(first.value) if isinstance(first, Atom) and first.kind == "word" else None

    def __str__(self) -> str:
        return f"({self.head or '...'} ...)" if self.items else "()"


@cache
def _parser() -> Lark:
    return Lark(_GRAMMAR, parser="lalr", propagate_positions=True)


def read(text: str, file: str) -> list[Atom | Form]:
    """Return the expressions of a file.  Raises `SettingsError` with one fault: an unbalanced bracket or quote."""
    try:
        tree = _parser().parse(text)
    except UnexpectedCharacters as cause:
        raise SettingsError(
            [
                SettingsFault(
                    SourcePosition(file, cause.line, cause.column),
                    repr(cause.char),
                    "a word, a number, a closed string or a bracket",
                )
            ]
        ) from None
    except UnexpectedEOF:
        raise SettingsError([_unclosed_bracket(text, file)]) from None
    except UnexpectedToken as cause:
        if cause.token.type == "$END":
            raise SettingsError([_unclosed_bracket(text, file)]) from None
        raise SettingsError(
            [
                SettingsFault(
                    SourcePosition(file, cause.line, cause.column),
                    repr(str(cause.token)),
                    "a ( before this bracket",
                )
            ]
        ) from None
    return [_convert(child, file) for child in tree.children]


def _unclosed_bracket(text: str, file: str) -> SettingsFault:
    """Return the fault of an unclosed bracket; the position is that of the innermost open bracket."""
    open_brackets = []
    for token in _parser().lex(text, dont_ignore=False):
        if token.type == "LPAR":
            open_brackets.append(token)
        elif token.type == "RPAR" and open_brackets:
            open_brackets.pop()
    last = open_brackets[-1]
    return SettingsFault(
        SourcePosition(file, last.line or 1, last.column or 1), "the end of the file", "a ) that closes this bracket"
    )


def _convert(node: Token | Tree[Token], file: str) -> Atom | Form:
    if isinstance(node, Token):
        position = SourcePosition(file, node.line or 1, node.column or 1)
        if node.type == "NUMBER":
            return Atom(float(node), "number", position)
        if node.type == "STRING":
            return Atom(node[1:-1].replace('\\"', '"').replace("\\\\", "\\"), "string", position)
        return Atom(str(node), "word", position)
    position = SourcePosition(file, node.meta.line, node.meta.column)
    return Form(tuple(_convert(child, file) for child in node.children), position)
