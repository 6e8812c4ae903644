"""The pages match the source tree: what they name exists, and the example of the README runs."""

from __future__ import annotations

import os
import re
import subprocess
import sys
import time
from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path

import pytest

from testbed.network.addresses import claimed_port
from testbed.network.sockets import LOCAL

ROOT = Path(__file__).parents[1]
EXAMPLE = ROOT / "deploy" / "example"
# Pages of incidents are left out: they describe the program as it was then, with its names of that time.
PAGES = [ROOT / "README.md", *sorted((ROOT / "docs").glob("*.md"))]
MODULE = re.compile(r"[\w./-]*\w\.py\b")
PAGE = re.compile(r"docs/[\w./-]*\.md")
TEST = re.compile(r"`(test_\w+)`")


@pytest.mark.parametrize("page", PAGES, ids=lambda page: page.name)
def test_each_module_and_page_that_a_page_names_exists(page: Path) -> None:
    text = page.read_text()
    named = set(MODULE.findall(text)) | set(PAGE.findall(text))
    missing = sorted(name for name in named if not (ROOT / name).is_file())
    assert not missing, f"{page.name} names what is not there: {missing}"


@pytest.mark.parametrize("page", PAGES, ids=lambda page: page.name)
def test_each_test_that_a_page_names_exists(page: Path) -> None:
    tests = "\n".join(path.read_text() for path in (ROOT / "tests").rglob("test_*.py"))
    missing = [name for name in TEST.findall(page.read_text()) if f"def {name}(" not in tests]
    assert not missing, f"{page.name} names what is not there: {missing}"


@pytest.mark.parametrize("page", PAGES, ids=lambda page: page.name)
def test_each_page_names_its_audience_at_the_top(page: Path) -> None:
    title, blank, audience, *_ = page.read_text().splitlines()
    assert title.startswith("# ") and not blank and audience.startswith("For ")


@contextmanager
def started(*command: str, **variables: str) -> Iterator[None]:
    environment = {**os.environ, **variables}
    process = subprocess.Popen(
        [sys.executable, *command], cwd=ROOT, env=environment, stderr=subprocess.DEVNULL
    )
    try:
        yield
    finally:
        process.terminate()
        process.wait(timeout=10)


def test_the_example_of_the_readme_answers(tmp_path: Path) -> None:
    """Runs the commands of the README on free ports."""
    ports = {"6400": claimed_port(), "6401": claimed_port(), "6402": claimed_port(), "6410": claimed_port()}
    text = (EXAMPLE / "config.json").read_text()
    for written, free in ports.items():
        assert text.count(f"{LOCAL}:{written}") == 1
        text = text.replace(f"{LOCAL}:{written}", f"{LOCAL}:{free}")
    config = tmp_path / "config.json"
    config.write_text(text)
    client = [sys.executable, "deploy/example/client.py", str(ports["6400"])]
    with (
        started("deploy/example/backend.py", str(ports["6410"])),
        started("-m", "switchline", LB_CONFIG=str(config)),
    ):
        answered = subprocess.run(client, cwd=ROOT, capture_output=True, text=True, check=False)
        while answered.returncode:  # until both listen; otherwise the time limit of the test ends it
            time.sleep(0.1)
            answered = subprocess.run(client, cwd=ROOT, capture_output=True, text=True, check=False)
    assert answered.stdout.splitlines() == ["b'$5\\r\\nhello\\r\\n'"] * 3 + ["b'-BUSY 500\\r\\n'"] * 2
