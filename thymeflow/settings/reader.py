"""The reader of the settings: it builds frozen dataclasses from INI text and the environment.

The reader reports every fault of a file, not only the first; each fault has the file, line, section and key, and a text
that tells what to write instead. If there is any fault, the reader uses no value of the file.
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
SIMILARITY_CUTOFF = 0.5  # Minimum difflib similarity between an unknown name and a suggested one

SectionClass = type["DataclassInstance"]  # One of the dataclasses in `sections`
ValueKindsByKey = dict[str, ValueKind[object]]

SECTIONS: dict[str, SectionClass] = dict(get_type_hints(Settings))


def suggest_name(name: str, known: Iterable[str]) -> str:
    """Return a text that suggests the known name closest to `name`, or lists all known names if none is close."""
    names = sorted(known)
    matches = difflib.get_close_matches(name, names, 1, SIMILARITY_CUTOFF)
    return f"did you mean {matches[0]!r}?" if matches else f"known here: {', '.join(names)}"


def find_value_kinds(section: SectionClass) -> ValueKindsByKey:
    """Return the value kind of each key of a section, by the spelling of the key in the file."""
    hints = get_type_hints(section, include_extras=True)
    return {field.name.replace("_", "-"): get_args(hints[field.name])[1] for field in fields(section)}


class _SettingsBuilder:
    """Collects the values and the faults of all sections from the file and the environment."""

    def __init__(self) -> None:
        self._value_kinds = {name: find_value_kinds(section) for name, section in SECTIONS.items()}
        self._values: dict[str, dict[str, object]] = {name: {} for name in SECTIONS}
        self._faults: list[Fault] = []

    def add_file(self, file: IniFile) -> None:
        """Read the value of every key of a file."""
        for section, keys in file.sections.items():
            if section not in self._value_kinds:
                remedy = suggest_name(section, self._value_kinds)
                self._faults.append(
                    Fault(file.name, file.find_line_number(section), section, "", "is no section", remedy)
                )
                continue
            for key, text in keys.items():
                self._add_key(file, section, key, text)

    def _add_key(self, file: IniFile, section: str, key: str, text: str) -> None:
        line = file.find_line_number(section, key)
        if key not in self._value_kinds[section]:
            remedy = suggest_name(key, self._value_kinds[section])
            self._faults.append(Fault(file.name, line, section, key, "is no key here", remedy))
            return
        try:
            self._read_value(section, key, text)
        except InvalidValueError as error:
            self._faults.append(Fault(file.name, line, section, key, str(error), error.remedy))

    def add_environment(self, environment: Mapping[str, str]) -> None:
        """Read every variable whose name begins with `VARIABLE_PREFIX`; its value overrides the value in the file."""
        settings_by_variable = {
            _build_variable_name(section, key): (section, key)
            for section in self._value_kinds
            for key in self._value_kinds[section]
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
        self._values[section][key] = self._value_kinds[section][key].read(text.strip())

    def build(self) -> Settings:
        """Return the settings; a key that neither the file nor the environment sets has its default.

        :raises SettingsError: with every fault, if there is any.
        """
        if self._faults:
            raise SettingsError(self._faults)
        settings = Settings()
        for name, values in self._values.items():
            fields_by_name = {key.replace("-", "_"): value for key, value in values.items()}
            section = replace(getattr(settings, name), **fields_by_name)
            settings = replace(settings, **{name: section})
        return settings


def _build_variable_name(section: str, key: str) -> str:
    return f"{VARIABLE_PREFIX}{section}_{key}".upper().replace("-", "_")


def parse_settings(text: str, file: str, environment: Mapping[str, str]) -> Settings:
    """Return the settings in the text of the file `file`; environment variables override them.

    :raises SettingsError: with every fault, if there is any.
    """
    builder = _SettingsBuilder()
    builder.add_file(parse_ini(text, file))
    builder.add_environment(environment)
    return builder.build()


def read_settings(path: str | Path | None, environment: Mapping[str, str] = os.environ) -> Settings:
    """Return the settings of a file, or the defaults if there is no path; environment variables override both.

    :raises SettingsError: with every fault, if there is any.
    """
    if path is None:
        return parse_settings("", "no file", environment)
    return parse_settings(read_text(Path(path)), str(path), environment)


def format_settings(settings: Settings) -> str:
    """Return the text of a settings file from which the reader builds equal settings."""
    sections = []
    for name, section in SECTIONS.items():
        values = getattr(settings, name)
        rows = [
            f"{key} = {kind.show(getattr(values, key.replace('-', '_')))}".rstrip()
            for key, kind in find_value_kinds(section).items()
        ]
        sections.append("\n".join([f"[{name}]", *rows]))
    return "\n\n".join(sections) + "\n"
