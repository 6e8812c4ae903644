from __future__ import annotations

from pathlib import Path

import pytest
from hypothesis import settings

from fleetlab.fixture import lab  # noqa: F401

settings.register_profile("repeatable", derandomize=True, deadline=None, database=None)
settings.load_profile("repeatable")


@pytest.fixture(autouse=True)
def quick_drain(monkeypatch: pytest.MonkeyPatch) -> None:
    """Gateways in tests have no front that still sends them connections."""
    monkeypatch.setattr("roadpulley.service.NOTICE_S", 0.01)
    monkeypatch.setattr("roadpulley.service.NEWS_S", 0.01)


@pytest.fixture(autouse=True)
def private_files(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    """Each test's gateways start with no files of earlier ones."""
    monkeypatch.setenv("TMPDIR", str(tmp_path))


@pytest.fixture(autouse=True)
def patient_store(monkeypatch: pytest.MonkeyPatch) -> None:
    """No test depends on the disk's speed, unless it sets these itself."""
    monkeypatch.setattr("roadpulley.store.PATIENCE_S", 30.0)
    for name in ("LOAD_S", "HAND_S", "LOCK_S"):
        monkeypatch.setattr(f"roadpulley.recovery.{name}", 15.0)
