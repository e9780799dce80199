"""The one reader of our settings: INI text and the environment in, frozen dataclasses out.

Every fault of a file is told, not only the first, each with file, line, section, key and what to write
instead. Nothing is taken from a file that has one.
"""

from __future__ import annotations

import configparser
import difflib
import os
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, fields
from pathlib import Path
from typing import Any, get_args, get_type_hints

from thymeflow.settings.sections import Settings
from thymeflow.settings.units import InvalidValueError, Kind

PREFIX = "THYMEFLOW_"
MOST_BYTES = 1 << 20  # of a settings file; a larger one is something else


@dataclass(frozen=True, slots=True)
class Fault:
    """One thing that is wrong: where, what, and the mend. Line 0: the whole file, or the environment."""

    file: str
    line: int
    section: str
    key: str
    why: str
    mend: str

    def __str__(self) -> str:
        where = f"{self.file}:{self.line}" if self.line else self.file
        place = " ".join(filter(None, (f"[{self.section}]" if self.section else "", self.key)))
        return ": ".join(filter(None, (where, place, f"{self.why}; {self.mend}")))


class SettingsError(Exception):
    """The settings cannot be used; `faults` holds every reason."""

    def __init__(self, faults: list[Fault]) -> None:
        super().__init__("\n".join(map(str, faults)))
        self.faults = faults


def nearest(name: str, known: Iterable[str]) -> str:
    """A mend for an unknown name."""
    names = sorted(known)
    close = difflib.get_close_matches(name, names, 1, 0.5)
    return f"did you mean {close[0]!r}?" if close else f"known here: {', '.join(names)}"


def kinds(section: type[Any]) -> dict[str, Kind]:
    """The kind of each key of a section, as the file spells it."""
    hints = get_type_hints(section, include_extras=True)
    return {f.name.replace("_", "-"): get_args(hints[f.name])[1] for f in fields(section)}


SECTIONS: dict[str, type[Any]] = dict(get_type_hints(Settings))


def _lines(text: str) -> dict[tuple[str, str], int]:
    # configparser forgets where things stood; a message that names no line costs its reader minutes.
    found: dict[tuple[str, str], int] = {}
    section = ""
    for number, line in enumerate(text.splitlines(), 1):
        bare = line.strip()
        if bare.startswith("[") and "]" in bare:
            section = bare[1 : bare.index("]")]
            found.setdefault((section, ""), number)
        elif bare and bare[0] not in "#;" and "=" in bare and not line[:1].isspace():
            found.setdefault((section, bare.partition("=")[0].strip().lower()), number)
    return found


def _parsed(text: str, file: str) -> dict[str, dict[str, str]]:
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
    except configparser.DuplicateOptionError as fault:
        raise SettingsError(
            [Fault(file, fault.lineno or 0, fault.section, fault.option, "is set twice", "keep one of the two")]
        ) from None
    except configparser.DuplicateSectionError as fault:
        raise SettingsError(
            [Fault(file, fault.lineno or 0, fault.section, "", "stands twice", "write its keys under one head")]
        ) from None
    except configparser.MissingSectionHeaderError as fault:
        raise SettingsError(
            [
                Fault(
                    file, fault.lineno, "", "", "a line stands before any section", "begin with a head such as [daemon]"
                )
            ]
        ) from None
    except configparser.ParsingError as fault:
        raise SettingsError(
            [
                Fault(
                    file,
                    number,
                    "",
                    "",
                    f"{line.strip()!r} is no key = value",
                    "write key = value, or begin the line with # to leave it out",
                )
                for number, line in fault.errors
            ]
        ) from None
    return {name: dict(parser[name]) for name in parser.sections()}


def _text_of(path: Path) -> str:
    try:
        data = path.read_bytes()
    except OSError as fault:
        raise SettingsError(
            [
                Fault(
                    str(path),
                    0,
                    "",
                    "",
                    f"cannot be read ({fault.strerror})",
                    "name a file that is there and may be read",
                )
            ]
        ) from None
    if len(data) > MOST_BYTES:
        raise SettingsError(
            [Fault(str(path), 0, "", "", f"holds {len(data)} bytes", "settings are shorter; name another file")]
        )
    try:
        return data.decode()
    except UnicodeDecodeError as fault:
        line = data[: fault.start].count(b"\n") + 1
        raise SettingsError([Fault(str(path), line, "", "", "is no UTF-8 text", "save it as UTF-8")]) from None


def from_text(text: str, file: str, environment: Mapping[str, str]) -> Settings:
    """Settings from a file's text, with the environment over it; SettingsError holds every fault."""
    given, lines, faults = _parsed(text, file), _lines(text), list[Fault]()
    values: dict[str, dict[str, Any]] = {name: {} for name in SECTIONS}
    known = {name: kinds(section) for name, section in SECTIONS.items()}
    for section, keys in given.items():
        if section not in known:
            faults.append(
                Fault(file, lines.get((section, ""), 0), section, "", "is no section", nearest(section, known))
            )
            continue
        for key, raw in keys.items():
            place = (file, lines.get((section, key), 0), section, key)
            if key not in known[section]:
                faults.append(Fault(*place, "is no key here", nearest(key, known[section])))
                continue
            try:
                values[section][key] = known[section][key].read(raw.strip())
            except InvalidValueError as fault:
                faults.append(Fault(*place, str(fault), fault.mend))
    names = {f"{PREFIX}{s}_{k}".upper().replace("-", "_"): (s, k) for s in known for k in known[s]}
    for variable in sorted(v for v in environment if v.startswith(PREFIX)):
        if variable not in names:
            faults.append(Fault("environment", 0, "", variable, "sets nothing", nearest(variable, names)))
            continue
        section, key = names[variable]
        try:
            values[section][key] = known[section][key].read(environment[variable].strip())
        except InvalidValueError as fault:
            faults.append(Fault("environment", 0, section, variable, str(fault), fault.mend))
    if faults:
        raise SettingsError(faults)
    return Settings(
        **{name: SECTIONS[name](**{k.replace("-", "_"): v for k, v in values[name].items()}) for name in SECTIONS}
    )


def read(path: str | Path | None, environment: Mapping[str, str] = os.environ) -> Settings:
    """Settings from a file (None: start values and the environment alone)."""
    if path is None:
        return from_text("", "no file", environment)
    return from_text(_text_of(Path(path)), str(path), environment)


def written(settings: Settings) -> str:
    """Settings as a file that reads back as the same."""
    parts = []
    for name, section in SECTIONS.items():
        held = getattr(settings, name)
        rows = [
            f"{key} = {kind.show(getattr(held, key.replace('-', '_')))}".rstrip()
            for key, kind in kinds(section).items()
        ]
        parts.append("\n".join([f"[{name}]", *rows]))
    return "\n\n".join(parts) + "\n"
