"""The settings file: a reader of INI text into frozen dataclasses, which reports every fault of the text at once."""

from thymeflow.settings.errors import Fault, SettingsError
from thymeflow.settings.reader import read_settings
from thymeflow.settings.sections import Settings

__all__ = ["Fault", "Settings", "SettingsError", "read_settings"]
