"""Units of memory, in bytes. A new process imports this module before it may load the program."""

from __future__ import annotations

KIBIBYTE = 1024
MEBIBYTE = 1024 * KIBIBYTE
