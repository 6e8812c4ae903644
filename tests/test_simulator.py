"""The simulator's adapter decodes events, encodes actions and ends at bad input."""

from __future__ import annotations

import io
import json
import subprocess
import sys
from pathlib import Path

import pytest

from switchline import simulator

SETUP = {
    "az": "a",
    "groupSize": 2,
    "selfIndex": 0,
    "newKey": {"x": 1},
    "caps": {"maxAttempts": 3, "cancelling": True, "maxRetryAfter": 500.0},
    "classes": [{"name": "view", "aim": 1000.0, "deadline": 3000.0, "effect": "pure", "importance": 1.0}],
    "packages": [{"name": "basic", "rate": 2.0, "mostAtOnce": 8.0}],
    "familyInfo": {"mayCount": True, "countWait": 50.0},
    "rules": {"warmWithin": 10000.0, "startCapacity": 0.2, "drainGrace": 1000.0},
}
CREATE = [["create", 5, SETUP], ["backendsChanged", "SAVED", 1, [["a", 0, None, "ready", 1, 77, "std"]]]]
REQUEST = ["jobIn", "d88e86a15d3a91c4", "view", "basic", "key:1", 3000.0, 1, 2, 0, 0]


def batch_line(*arrivals: list[object], moment: float = 10.0, gateway: int = 3) -> str:
    return (
        json.dumps({"moment": moment, "groups": [{"gatewayId": gateway, "arrivals": list(arrivals)}]}) + "\n"
    )


def run_adapter(*lines: str) -> tuple[int, list[dict[str, object]]]:
    output = io.StringIO()
    code = simulator.main(io.StringIO("".join(lines)), output)
    return code, [json.loads(line) for line in output.getvalue().splitlines()]


def test_an_empty_batch_gets_an_empty_reply_and_the_end_of_input_ends_the_adapter() -> None:
    assert run_adapter('{"moment":1,"groups":[]}\n') == (0, [{"groups": []}])
    assert run_adapter() == (0, [])


def test_a_request_is_sent_and_its_outcome_accepted() -> None:
    code, replies = run_adapter(
        batch_line(*CREATE),
        batch_line(REQUEST, moment=20),
        batch_line(["ended", REQUEST[1], 0, 18.5, "Ok", True, 0, 77, None, None], moment=40),
    )
    assert code == 0 and len(replies) == 3
    (group,) = replies[1]["groups"]  # type: ignore[misc]
    assert group["gatewayId"] == 3 and ["callOut", REQUEST[1], 0.0, 77] in group["out"]


def test_every_event_of_the_wire_is_accepted() -> None:
    code, _ = run_adapter(
        batch_line(
            *CREATE,
            ["wakeup", "x"],
            ["whisper", 1, "00ff"],
            ["lapsed", "0"],
            ["ledgerReply", 1, 2, "Ok", "n"],
            ["underWay", "0", 0, 77, 1.0],
            ["health", 77, "Ok", 1.0, None],
            ["backendsChanged", "FAILED", 1, None],
            ["exit"],
            *CREATE,
        )
    )
    assert code == 0


@pytest.mark.parametrize(
    "line",
    [
        "not json\n",
        "[]\n",
        "{}\n",
        '{"moment":"x","groups":[]}\n',
        '{"moment":1,"groups":[{"gatewayId":1}]}\n',
        batch_line(["wakeup", "x"]),
        batch_line(*CREATE, ["surprise"]),
        batch_line(*CREATE, ["jobIn", 1]),
        batch_line(*CREATE, []),
        batch_line(["create"]),
        batch_line(["create", 1, []]),
        batch_line(*CREATE, ["whisper", 1, "zz"]),
        batch_line(*CREATE, ["ended", "0", 0, 1, "Nonsense", True, 0, 77]),
        "3\n",
        batch_line(*CREATE, ["wakeup", 5]),
    ],
)
def test_bad_input_ends_the_adapter_with_an_error_of_one_line(
    line: str, capsys: pytest.CaptureFixture[str]
) -> None:
    code, replies = run_adapter(line)
    captured = capsys.readouterr()
    assert code != 0 and replies == []
    assert captured.err.count("\n") == 1 and captured.err.startswith("switchline.simulator: bad input: ")


def test_the_adapter_runs_as_a_command() -> None:
    run = subprocess.run(
        [sys.executable, "-m", "switchline.simulator"],
        input=batch_line(*CREATE) + "oops\n",
        capture_output=True,
        text=True,
        cwd=Path(__file__).parents[1],
    )
    assert run.returncode == 2 and "Traceback" not in run.stderr
    assert len(run.stdout.splitlines()) == 1
