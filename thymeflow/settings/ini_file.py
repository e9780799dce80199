"""The INI syntax of the settings file: a parser that returns raw strings by section and key, and their line numbers."""

from __future__ import annotations

import configparser
from dataclasses import dataclass
from pathlib import Path

from thymeflow.settings.errors import Fault, SettingsError

MAX_FILE_BYTES = 1 << 20  # Maximum size of a settings file

RawSections = dict[str, dict[str, str]]  # Unparsed values by section and key


@dataclass(frozen=True, slots=True)
class IniFile:
    """The sections of a settings file, and the line number of each section and key."""

    name: str
    sections: RawSections
    # Line numbers by section and key; the key "" stands for the header of the section.
    line_numbers: dict[tuple[str, str], int]

    def find_line_number(self, section: str, key: str = "") -> int:
        """Return the line number of a key or, without a key, of a section's header; 0 if it is unknown."""
        return self.line_numbers.get((section, key), 0)


def read_text(path: Path) -> str:
    """Return the text of a settings file.

    :raises SettingsError: if the file cannot be read, is larger than `MAX_FILE_BYTES` or is not UTF-8.
    """
    try:
        data = path.read_bytes()
    except OSError as error:
        why = f"cannot be read ({error.strerror})"
        raise SettingsError([Fault(str(path), 0, "", "", why, "name a file that is there and may be read")]) from None
    if len(data) > MAX_FILE_BYTES:
        why = f"holds {len(data)} bytes"
        raise SettingsError([Fault(str(path), 0, "", "", why, "settings are shorter; name another file")])
    try:
        return data.decode()
    except UnicodeDecodeError as error:
        line = data[: error.start].count(b"\n") + 1
        raise SettingsError([Fault(str(path), line, "", "", "is no UTF-8 text", "save it as UTF-8")]) from None


def parse_ini(text: str, name: str) -> IniFile:
    """Parse the text of the settings file `name`.

    :raises SettingsError: if the text is not valid INI.
    """
    parser = configparser.ConfigParser(
        interpolation=None,
        delimiters=("=",),
        comment_prefixes=("#", ";"),
        inline_comment_prefixes=(";", "#"),
        default_section="\0",
        empty_lines_in_values=False,
    )
    try:
        parser.read_string(text)
    except (configparser.DuplicateOptionError, configparser.DuplicateSectionError, configparser.ParsingError) as error:
        raise SettingsError(_build_syntax_faults(error, name)) from None
    sections = {section: dict(parser[section]) for section in parser.sections()}
    return IniFile(name, sections, _find_line_numbers(text))


def _build_syntax_faults(
    error: configparser.DuplicateOptionError | configparser.DuplicateSectionError | configparser.ParsingError, name: str
) -> list[Fault]:
    if isinstance(error, configparser.DuplicateOptionError):
        return [Fault(name, error.lineno or 0, str(error.section), error.option, "is set twice", "keep one of the two")]
    if isinstance(error, configparser.DuplicateSectionError):
        remedy = "write its keys under one head"
        return [Fault(name, error.lineno or 0, str(error.section), "", "stands twice", remedy)]
    if isinstance(error, configparser.MissingSectionHeaderError):
        remedy = "begin with a head such as [daemon]"
        return [Fault(name, error.lineno, "", "", "a line stands before any section", remedy)]
    remedy = "write key = value, or begin the line with # to leave it out"
    return [Fault(name, number, "", "", f"{line.strip()!r} is no key = value", remedy) for number, line in error.errors]


def _find_line_numbers(text: str) -> dict[tuple[str, str], int]:
    # configparser does not return the line numbers of valid keys, and every error message of the reader has one.
    line_numbers: dict[tuple[str, str], int] = {}
    section = ""
    for number, line in enumerate(text.splitlines(), 1):
        stripped = line.strip()
        if stripped.startswith("[") and "]" in stripped:
            section = stripped[1 : stripped.index("]")]
            line_numbers.setdefault((section, ""), number)
        elif stripped and stripped[0] not in "#;" and "=" in stripped and not line[:1].isspace():
            key = stripped.partition("=")[0].strip().lower()
            line_numbers.setdefault((section, key), number)
    return line_numbers
