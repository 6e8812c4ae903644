"""Writes the recorded decisions anew: the same events, with the actions of the present policy.

For a deliberate change of decisions; the commit that changes them says which actions differ, and why.
Usage, from the repository's root: PYTHONPATH=.:tests:tests/recordings python -m record_again SCENE...
"""

from __future__ import annotations

import lzma
import sys

import neutral_form
from neutral_form import Neutral
from test_recorded_decisions import OUTCOME_NAMES, RECORDED, replay


def recorded_again(scene: str) -> list[Neutral]:
    """Return the lines of a scene with the present actions and statuses."""
    result: list[Neutral] = []
    for line, replayed in replay(scene):
        kept = {name: value for name, value in line.items() if name not in OUTCOME_NAMES}
        result.append(kept | replayed)
    return result


def main() -> None:
    """Write the scenes named on the command line."""
    for scene in sys.argv[1:]:
        text = "".join(neutral_form.line(line) + "\n" for line in recorded_again(scene))
        (RECORDED / f"{scene}.jsonl.xz").write_bytes(lzma.compress(text.encode(), preset=9))


if __name__ == "__main__":
    main()
