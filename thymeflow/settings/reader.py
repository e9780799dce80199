"""The reader of the settings: INI text and the environment in, frozen dataclasses out.

Every fault of a file is reported, not only the first, each with file, line, section, key and what to write instead.
No value is used of a file that has a fault.
"""

from __future__ import annotations

import difflib
import os
from collections.abc import Iterable, Mapping
from dataclasses import fields, replace
from pathlib import Path
from typing import TYPE_CHECKING, get_args, get_type_hints

from thymeflow.settings.errors import Fault, InvalidValueError, SettingsError
from thymeflow.settings.ini_file import IniFile, parse_ini, read_text
from thymeflow.settings.sections import Settings
from thymeflow.settings.units import ValueKind

if TYPE_CHECKING:
    from _typeshed import DataclassInstance

VARIABLE_PREFIX = "THYMEFLOW_"
SIMILARITY_CUTOFF = 0.5  # of difflib: how alike a name is to one that is suggested for it

SectionClass = type["DataclassInstance"]  # one of `sections`
KindsByKey = dict[str, ValueKind[object]]

SECTIONS: dict[str, SectionClass] = dict(get_type_hints(Settings))


def suggest_name(name: str, known: Iterable[str]) -> str:
    """Return what to write instead of an unknown name: the known one that is most alike, or all of them."""
    names = sorted(known)
    alike = difflib.get_close_matches(name, names, 1, SIMILARITY_CUTOFF)
    return f"did you mean {alike[0]!r}?" if alike else f"known here: {', '.join(names)}"


def kinds_of(section: SectionClass) -> KindsByKey:
    """Return the kind of value of each key of a section, keys as the file spells them."""
    hints = get_type_hints(section, include_extras=True)
    return {field.name.replace("_", "-"): get_args(hints[field.name])[1] for field in fields(section)}


class _SettingsBuilder:
    """Collects the values of all sections, and every fault, from one source after another."""

    def __init__(self) -> None:
        self._kinds = {name: kinds_of(section) for name, section in SECTIONS.items()}
        self._values: dict[str, dict[str, object]] = {name: {} for name in SECTIONS}
        self._faults: list[Fault] = []

    def add_file(self, file: IniFile) -> None:
        """Read every key of a file."""
        for section, keys in file.sections.items():
            if section not in self._kinds:
                remedy = suggest_name(section, self._kinds)
                self._faults.append(Fault(file.name, file.line_of(section), section, "", "is no section", remedy))
                continue
            for key, text in keys.items():
                self._add_key(file, section, key, text)

    def _add_key(self, file: IniFile, section: str, key: str, text: str) -> None:
        line = file.line_of(section, key)
        if key not in self._kinds[section]:
            remedy = suggest_name(key, self._kinds[section])
            self._faults.append(Fault(file.name, line, section, key, "is no key here", remedy))
            return
        try:
            self._read_value(section, key, text)
        except InvalidValueError as error:
            self._faults.append(Fault(file.name, line, section, key, str(error), error.remedy))

    def add_environment(self, environment: Mapping[str, str]) -> None:
        """Read every variable with the prefix; its value overrides that of the file."""
        settings_by_variable = {
            _variable_name(section, key): (section, key) for section in self._kinds for key in self._kinds[section]
        }
        for variable in sorted(name for name in environment if name.startswith(VARIABLE_PREFIX)):
            if variable not in settings_by_variable:
                remedy = suggest_name(variable, settings_by_variable)
                self._faults.append(Fault("environment", 0, "", variable, "sets nothing", remedy))
                continue
            section, key = settings_by_variable[variable]
            try:
                self._read_value(section, key, environment[variable])
            except InvalidValueError as error:
                self._faults.append(Fault("environment", 0, section, variable, str(error), error.remedy))

    def _read_value(self, section: str, key: str, text: str) -> None:
        self._values[section][key] = self._kinds[section][key].read(text.strip())

    def build(self) -> Settings:
        """Return the settings, with defaults for what no source sets.

        :raises SettingsError: with every fault.
        """
        if self._faults:
            raise SettingsError(self._faults)
        settings = Settings()
        for name, values in self._values.items():
            fields_by_name = {key.replace("-", "_"): value for key, value in values.items()}
            section = replace(getattr(settings, name), **fields_by_name)
            settings = replace(settings, **{name: section})
        return settings


def _variable_name(section: str, key: str) -> str:
    return f"{VARIABLE_PREFIX}{section}_{key}".upper().replace("-", "_")


def parse_settings(text: str, file: str, environment: Mapping[str, str]) -> Settings:
    """Return the settings of a file's text, with those of the environment over them.

    :raises SettingsError: with every fault.
    """
    builder = _SettingsBuilder()
    builder.add_file(parse_ini(text, file))
    builder.add_environment(environment)
    return builder.build()


def read_settings(path: str | Path | None, environment: Mapping[str, str] = os.environ) -> Settings:
    """Return the settings of a file; without a path, the defaults with those of the environment over them.

    :raises SettingsError: with every fault.
    """
    if path is None:
        return parse_settings("", "no file", environment)
    return parse_settings(read_text(Path(path)), str(path), environment)


def format_settings(settings: Settings) -> str:
    """Return the text of a file that reads back as these settings."""
    sections = []
    for name, section in SECTIONS.items():
        values = getattr(settings, name)
        rows = [
            f"{key} = {kind.show(getattr(values, key.replace('-', '_')))}".rstrip()
            for key, kind in kinds_of(section).items()
        ]
        sections.append("\n".join([f"[{name}]", *rows]))
    return "\n\n".join(sections) + "\n"
