"""The tree of the project's errors.

SwitchlineError
    StartError            this process can't begin to serve
        ConfigError       the configuration does not say what a gateway needs (exit code 2)
            SettingError  one of its settings can't have its value
        ListenError       the machine gives no listening socket in time (exit code 1)
    DiscoveryError        a list of backends can't be read (in the configuration: exit code 2)
"""

from __future__ import annotations


class SwitchlineError(Exception):
    """Any error of this project's own."""


class StartError(SwitchlineError):
    """This process can't begin to serve."""
