"""Reads INI text into sections and options with their line numbers.

The standard `configparser` stops at the first malformed line and does not
keep line numbers. Operators need all problems of a file at once, each with
its line.
"""

import dataclasses
import difflib

COMMENT_PREFIXES = (';', '#')
BYTE_ORDER_MARK = '\ufeff'
# Bounds the length of messages that quote a malformed line.
MAX_QUOTED_CHARS = 60


def _escape_unprintable(text):
    """Escape the characters that a terminal could interpret."""
    if text.isprintable():
        return text
    return ''.join(c if c.isprintable() else ascii(c)[1:-1] for c in text)


@dataclasses.dataclass(slots=True)
class Problem:
    """A problem of a file: what is wrong, and what to `write` instead."""

    file: str
    line: int
    what: str
    write: str

    def __post_init__(self):
        self.file = _escape_unprintable(self.file)
        self.what = _escape_unprintable(self.what)
        self.write = _escape_unprintable(self.write)

    def __str__(self):
        return f'{self.file}:{self.line}: {self.what}; {self.write}'


@dataclasses.dataclass(slots=True)
class IniOption:
    """An option, from a line `name = value` and its continuation lines."""

    name: str
    value: str
    line: int


@dataclasses.dataclass(slots=True)
class IniSection:
    """A section; `[route ledger lookups]` has the kind `route` and two names.

    `duplicate` marks a section whose options are read only to check them.
    """

    kind: str
    names: tuple
    line: int
    options: dict = dataclasses.field(default_factory=dict)
    duplicate: bool = False

    @property
    def title(self):
        """Return the header without its brackets."""
        return ' '.join((self.kind, *self.names))


def quote(text):
    """Return text in quotes for a message, shortened if necessary."""
    if len(text) > MAX_QUOTED_CHARS:
        text = text[:MAX_QUOTED_CHARS] + '...'
    return f"'{_escape_unprintable(text)}'"


def closest_match(name, known):
    """Return the known name most similar to `name`, or an empty string."""
    found = difflib.get_close_matches(name, known, n=1, cutoff=0.5)
    return found[0] if found else ''


class _Reader:
    """Collects the sections and problems of a file, line by line."""

    __slots__ = ('file', 'sections', 'problems', '_section', '_option')

    def __init__(self, file):
        self.file = file
        self.sections = {}
        self.problems = []
        self._section = None
        self._option = None

    def add_problem(self, line, what, write):
        self.problems.append(Problem(self.file, line, what, write))

    def feed(self, number, raw):
        text = raw.strip()
        if not text or text.startswith(COMMENT_PREFIXES):
            return
        if not text.replace('\t', ' ').isprintable():
            self.add_problem(
                number,
                f'{quote(text)} has a character that is not printable',
                'rewrite the line in UTF-8, without control characters',
            )
        if text.startswith('['):
            self._read_header(number, text)
        elif raw[0].isspace() and self._option is not None:
            self._option.value = f'{self._option.value} {text}'.strip()
        else:
            self._read_option(number, text)

    def _read_header(self, number, text):
        self._option = None
        words = text[1:-1].split() if text.endswith(']') else []
        if not words:
            self.add_problem(
                number,
                f'{quote(text)} is not a section header',
                'write `[KIND NAME]`, for example `[service ledger]`',
            )
            # Collects the options that follow, so that they aren't reported
            # as options before the first section.
            self._section = IniSection('', (), number, duplicate=True)
            return
        section = IniSection(words[0], tuple(words[1:]), number)
        first = self.sections.get(section.title)
        if first is not None:
            section.duplicate = True
            self.add_problem(
                number,
                f'section [{section.title}] is already declared on line '
                f'{first.line}',
                'merge the two sections, or rename one of them',
            )
            self.sections[f'{section.title}\n{number}'] = section
        else:
            self.sections[section.title] = section
        self._section = section

    def _read_option(self, number, text):
        name, separator, value = text.partition('=')
        name = name.strip()
        self._option = None
        if not separator or not name:
            self.add_problem(
                number,
                f'{quote(text)} is not an option',
                'write `NAME = VALUE`, or start a comment with `;`',
            )
            return
        if self._section is None:
            self.add_problem(
                number,
                f'option {quote(name)} precedes the first section',
                'write a section header such as `[manifest]` above it',
            )
            return
        self._option = IniOption(name, value.strip(), number)
        first = self._section.options.setdefault(name, self._option)
        if first is not self._option:
            self.add_problem(
                number,
                f'option {quote(name)} is already set on line {first.line}',
                'keep one of the two lines',
            )


def read_ini(text, file):
    """Return the sections of an INI text and its syntax problems.

    An indented line continues the value of the line above it. Lines that
    start with `;` or `#` are comments.
    """
    reader = _Reader(file)
    lines = text.removeprefix(BYTE_ORDER_MARK).split('\n')
    for number, line in enumerate(lines, 1):
        reader.feed(number, line)
    return list(reader.sections.values()), reader.problems
