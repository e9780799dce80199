"""Settings of our own: INI files read into frozen dataclasses, with units, and every fault told at once."""

from thymeflow.settings.reader import Fault, SettingsError, read
from thymeflow.settings.sections import Settings

__all__ = ["Fault", "Settings", "SettingsError", "read"]
