"""The list of tests that are known to fail: what it may hold, and what becomes of a line that is not so."""

import subprocess
import sys
from pathlib import Path

import pytest

SCRIPT = Path(__file__).parent.parent / ".ci" / "known_red.py"
TESTS = """
import pytest

def test_red():
    assert 1 == 2

def test_green():
    pass

@pytest.fixture
def broken():
    raise OSError("no room")

def test_error(broken):
    pass
"""


def run(folder, word, text=None):
    (folder / "test_few.py").write_text(TESTS)
    if text is not None:
        (folder / "KNOWN-RED.txt").write_text(text)
    done = subprocess.run([sys.executable, SCRIPT, word], cwd=folder, capture_output=True, text=True)
    return done.returncode, done.stdout + done.stderr


@pytest.mark.parametrize("text", [None, "", "# none today\n\n"])
def test_no_list_is_none(tmp_path, text):
    assert run(tmp_path, "check", text) == (0, "") and run(tmp_path, "deselect", text) == (0, "\n")


def test_a_failure_that_is_listed_is_printed_and_passed_over(tmp_path):
    line = "test_few.py::test_red | one is not two yet | 39\n"
    assert run(tmp_path, "check", line) == (
        0,
        "KNOWN RED test_few.py::test_red: one is not two yet (issue 39)\n",
    )
    assert run(tmp_path, "deselect", line) == (0, "--deselect=test_few.py::test_red\n")


@pytest.mark.parametrize(
    ("test", "says"),
    [("test_green", "it passes"), ("test_none", "no such test"), ("test_error", "can not be run")],
)
def test_a_line_that_is_not_so_fails(tmp_path, test, says):
    code, said = run(tmp_path, "check", f"test_few.py::test_red | c | 1\ntest_few.py::{test} | c | 1\n")
    assert code == 1 and says in said


@pytest.mark.parametrize(
    "text",
    [
        "test_few.py::test_red\n",
        "test_few.py | c | 1\n",
        "a::b | | 1\n",
        "".join(f"a::b{i} | c | 1\n" for i in range(4)),
        "a::b | c | 1\n" * 2,
    ],
)
@pytest.mark.parametrize("word", ["check", "deselect"])
def test_a_list_that_cannot_be_used_fails(tmp_path, word, text):
    code, said = run(tmp_path, word, text)
    assert code == 2 and len(said.splitlines()) == 1


def test_a_test_that_fails_by_chance_may_pass_and_is_printed_either_way(tmp_path):
    lines = "test_few.py::test_red | c | 1 | by chance\ntest_few.py::test_green | c | 1 | by chance\n"
    code, output = run(tmp_path, "check", lines)
    assert code == 0
    assert output.splitlines() == [
        "KNOWN RED test_few.py::test_red: c (issue 1)",
        "KNOWN RED test_few.py::test_green: passed in this run; c (issue 1)",
    ]
    assert run(tmp_path, "deselect", lines)[1].split() == [
        "--deselect=test_few.py::test_red",
        "--deselect=test_few.py::test_green",
    ]


@pytest.mark.parametrize(
    ("test", "expected_text"), [("test_none", "no such test"), ("test_error", "can not be run")]
)
def test_a_test_by_chance_has_to_exist_and_run(tmp_path, test, expected_text):
    code, output = run(tmp_path, "check", f"test_few.py::{test} | c | 1 | by chance\n")
    assert code == 1 and expected_text in output


def test_an_unknown_fourth_column_fails(tmp_path):
    assert run(tmp_path, "check", "test_few.py::test_red | c | 1 | sometimes\n")[0] == 2
