"""The settings file: INI text read into frozen dataclasses, with units, and every fault reported at once."""

from thymeflow.settings.errors import Fault, SettingsError
from thymeflow.settings.reader import read_settings
from thymeflow.settings.sections import Settings

__all__ = ["Fault", "Settings", "SettingsError", "read_settings"]
