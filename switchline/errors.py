"""The base classes of the project's errors, and the tree of all of them.

SwitchlineError
    StartError            this process can't begin to serve
        ConfigError       the configuration lacks a value that a gateway needs, or has a bad one (exit code 2)
            SettingError  the value of a setting is not allowed
        ListenError       the machine gives no listening socket in time (exit code 1)
    DiscoveryError        an endpoint list can't be read (exit code 2 if it is the one in the configuration)
"""

from __future__ import annotations


class SwitchlineError(Exception):
    """Base class of the errors that this project defines."""


class StartError(SwitchlineError):
    """This process can't begin to serve."""
