"""Keeps the modules of OpenSSL out of the process: the gateway has no TLS connections, and they take 1.2 MB.

asyncio and uvloop import `ssl` when they are loaded, whether it is used or not. `ssl` gets a substitute with
the names that they look up then. `hashlib` does without `_hashlib`, as it has algorithms of its own.
"""

from __future__ import annotations

import sys
from types import ModuleType

CLASSES = ("MemoryBIO", "SSLContext", "SSLObject", "SSLSocket")
ERRORS = (
    "CertificateError",
    "SSLError",
    "SSLSyscallError",
    "SSLWantReadError",
    "SSLWantWriteError",
    "SSLZeroReturnError",
)
# The names of errors' numbers; no error is raised that has one.
NUMBERS = ("SSL_ERROR_SYSCALL", "SSL_ERROR_WANT_READ", "SSL_ERROR_WANT_WRITE")


def _refuse_tls(*_: object, **__: object) -> None:
    raise RuntimeError("this program has no TLS")


def leave_out_openssl() -> None:
    """Register the substitutes, unless the modules of OpenSSL are loaded already."""
    if "ssl" in sys.modules or "_hashlib" in sys.modules:
        return
    substitute = ModuleType(
        "ssl", "Stands in for the module of this name; see switchline/without_openssl.py."
    )
    names: dict[str, object] = {name: type(name, (), {"__init__": _refuse_tls}) for name in CLASSES}
    names |= {name: type(name, (OSError,), {}) for name in ERRORS}
    names |= {name: number for number, name in enumerate(NUMBERS)}
    vars(substitute).update(names, create_default_context=_refuse_tls)
    sys.modules["ssl"] = substitute
    sys.modules["_hashlib"] = None  # type: ignore[assignment]  # importing it raises ImportError
