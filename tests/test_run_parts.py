"""Tests the verdict of ``run_parts`` on tests that ``KNOWN-RED.txt`` lists."""

from __future__ import annotations

import pytest
from tests import run_parts

KNOWN = "tests/test_it.py::test_known"
OTHER = "tests/test_it.py::test_other"
HEADER = "import pytest\n"
KNOWN_FAILS = "def test_known():\n    assert not 1\n"
KNOWN_PASSES = "def test_known():\n    assert 1\n"
OTHER_FAILS = "def test_other():\n    assert not 2\n"
OTHER_PASSES = "def test_other():\n    assert 2\n"
KNOWN_WITH_BROKEN_SETUP = """
@pytest.fixture
def broken():
    raise RuntimeError("setup")

def test_known(broken):
    assert 1
"""
KNOWN_WITH_BROKEN_TEARDOWN = """
@pytest.fixture
def broken():
    yield
    raise RuntimeError("teardown")

def test_known(broken):
    assert not 1
"""


@pytest.fixture
def run(tmp_path, monkeypatch, capsys):
    """Return a function that runs the runner; it returns exit code and output.

    It takes the source of the only test file and the text of ``KNOWN-RED.txt``.
    """
    monkeypatch.setattr(run_parts, "ROOT", tmp_path)
    monkeypatch.setattr(run_parts, "KNOWN_RED_PATH", tmp_path / "KNOWN-RED.txt")
    (tmp_path / "tests").mkdir()

    def run_file(source, listed):
        (tmp_path / "tests" / "test_it.py").write_text(HEADER + source)
        (tmp_path / "KNOWN-RED.txt").write_text(listed)
        return run_parts.main(), capsys.readouterr().out

    return run_file


def list_entry(test):
    """Return a text of ``KNOWN-RED.txt`` that lists one test."""
    return f"Tests that show a fault.\n\n- {test}:\n  seen once. Issue 1.\n"


def test_passes_over_a_listed_test_and_prints_it(run):
    """Guards against a known fault that prevents all changes from landing."""
    code, output = run(KNOWN_FAILS + OTHER_PASSES, list_entry(KNOWN))
    assert code == 0
    assert f"{KNOWN}: failed, passed over" in output
    assert "assert not 1" in output


def test_does_not_pass_over_a_listed_test_that_passes(run):
    """Guards against reporting a failure of a listed test that passed."""
    code, output = run(KNOWN_PASSES, list_entry(KNOWN))
    assert code == 0
    assert f"{KNOWN}: not passed over" in output


@pytest.mark.parametrize(
    ("source", "listed"),
    [
        pytest.param(
            KNOWN_FAILS + OTHER_FAILS, list_entry(KNOWN), id="another failure"
        ),
        pytest.param(
            KNOWN_FAILS + OTHER_PASSES, list_entry(OTHER), id="not the listed one"
        ),
        pytest.param(KNOWN_FAILS, "None.\n", id="empty list"),
        pytest.param(KNOWN_FAILS, f"{list_entry(KNOWN)[:20]}", id="cut list"),
        pytest.param(KNOWN_WITH_BROKEN_SETUP, list_entry(KNOWN), id="error in setup"),
        pytest.param(
            KNOWN_WITH_BROKEN_TEARDOWN, list_entry(KNOWN), id="error in teardown"
        ),
        pytest.param("def broken(:\n", list_entry(KNOWN), id="unreadable test file"),
        pytest.param(
            "import os\ndef test_known():\n    os._exit(1)\n",
            list_entry(KNOWN),
            id="crash of pytest",
        ),
        pytest.param(
            KNOWN_FAILS,
            f"None.\n\nShown by a measuring program:\n\n- {KNOWN}:\n",
            id="listed below the tests",
        ),
    ],
)
def test_any_other_failure_fails_the_run(run, source, listed):
    """Guards against passing over failures that the list does not name."""
    code, _ = run(source, listed)
    assert code == 1


def test_each_test_listed_in_this_repository_exists():
    """Guards against a listed test that was renamed or removed."""
    known = run_parts.read_known_red(run_parts.KNOWN_RED_PATH.read_text())
    for test in known:
        path, _, name = test.partition("::")
        assert f"def {name}(" in (run_parts.ROOT / path).read_text()
