"""Load the settings of one host: defaults, overridden by an INI file."""

from damasktally.conf.loader import SettingsProblem, load_settings
from damasktally.conf.settings import Settings

__all__ = ["Settings", "SettingsProblem", "load_settings"]
