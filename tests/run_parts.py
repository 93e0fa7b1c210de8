"""Runs all tests in several pytest processes at a time and prints one verdict.

A part is a test file or a folder with tests. Each part is run by a pytest process of
its own, because gevent's patches rule out plugins that distribute the tests of one
pytest run over processes. The parts are always the same; which of them run at the
same time does not matter to any test.

``KNOWN-RED.txt`` lists tests that show a fault which is not fixed yet. They run like
all others. If such a test fails, it is passed over: the failure is printed, but does
not fail the run.
"""

from __future__ import annotations

import re
import shutil
import signal
import subprocess
import sys
import time
from collections import Counter
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
# How many parts run at the same time. Tests with real processes wait more than they
# compute.
MAX_PARALLEL_PARTS = 5
# The parts that take longest; they begin first, in this order.
LONGEST_PARTS = (
    "tests/test_whole_path.py",
    "tests/test_two_versions.py",
    "tests/test_maintenance.py",
    "libs/entry",
    "libs/operator",
    "libs/coordinator",
)
_RESULT_COUNT = re.compile(r"(\d+) (passed|failed|error|errors|skipped)\b")
_FAILED_TEST = re.compile(r"^FAILED (\S+::\S+)", re.M)
# Exit codes of pytest.
TESTS_FAILED = 1
NO_TESTS_COLLECTED = 5
ADAPTER_FOLDER = "platform"
KNOWN_RED_PATH = ROOT / "KNOWN-RED.txt"
# In KNOWN-RED.txt, the list of tests ends at this heading. The entries below it, such
# as goals that a benchmark missed, have no effect here.
_HEADING_AFTER_TESTS = "Shown by a measuring program"
_LISTED_TEST = re.compile(r"^- (\S+\.py::\S+?):?$", re.M)


@dataclass(frozen=True, slots=True)
class Outcome:
    """The exit code and the output of pytest for a part, and how long it ran."""

    part: str
    code: int
    output: str
    seconds: float


def find_parts() -> list[str]:
    """Return test files and folders that contain each test exactly once."""
    parts = [str(p.relative_to(ROOT)) for p in sorted(ROOT.glob("tests/test_*.py"))]
    parts += [str(p.relative_to(ROOT)) for p in sorted(ROOT.glob("libs/*"))]
    parts += [ADAPTER_FOLDER, "bench"]
    parts = [part for part in parts if _has_tests(ROOT / part)]
    rank = {part: number for number, part in enumerate(LONGEST_PARTS)}
    return sorted(parts, key=lambda part: rank.get(part, len(rank)))


def run_part(part: str) -> Outcome:
    """Run one part to its end."""
    began = time.monotonic()
    command = [sys.executable, "-m", "pytest", "-o", "addopts=", part]
    options = ["-q", "--import-mode=importlib", "-p", "no:cacheprovider", "--tb=short"]
    if part == ADAPTER_FOLDER:
        # With module names relative to the repository, these tests would hide the
        # module `platform` of the standard library.
        options += ["--rootdir", ADAPTER_FOLDER]
    done = subprocess.run(
        [*command, *options],
        cwd=ROOT,
        text=True,
        stdout=subprocess.PIPE,
        stderr=subprocess.STDOUT,
    )
    return Outcome(part, done.returncode, done.stdout, time.monotonic() - began)


def read_known_red(text: str) -> frozenset[str]:
    """Return the ids of the tests that the text of ``KNOWN-RED.txt`` lists.

    The first line for each test is ``- tests/test_a.py::test_b:``.
    """
    return frozenset(_LISTED_TEST.findall(text.partition(_HEADING_AFTER_TESTS)[0]))


def find_passed_over(outcome: Outcome, known_red: frozenset[str]) -> frozenset[str]:
    """Return the failed tests of a part if all are known red, else an empty set.

    No test is passed over if pytest ended otherwise than with failed tests, for
    instance by a crash, if an error outside the body of a test occurred, or if the
    output does not name every failed test.
    """
    if outcome.code != TESTS_FAILED:
        return frozenset()
    counts = count_results(outcome)
    failed = frozenset(_FAILED_TEST.findall(outcome.output))
    if counts["error"] + counts["errors"] or counts["failed"] != len(failed):
        return frozenset()
    return failed if failed <= known_red else frozenset()


def count_results(outcome: Outcome) -> Counter[str]:
    """Return the counts in pytest's last line, such as ``3 passed``, by word."""
    counts: Counter[str] = Counter()
    for count, word in _RESULT_COUNT.findall(_summary(outcome)):
        counts[word] += int(count)
    return counts


def main() -> int:
    """Run all parts; return 0 if each failed test was passed over, else 1."""
    # A shell makes programs that it starts in the background ignore SIGINT. Without
    # this handler, the programs under test would inherit that, but some of them must
    # end on SIGINT.
    signal.signal(signal.SIGINT, signal.default_int_handler)
    shutil.rmtree(ROOT / "target" / "test-logs", ignore_errors=True)
    known_red = read_known_red(KNOWN_RED_PATH.read_text())
    counts: Counter[str] = Counter()
    passed_over: set[str] = set()
    failed = False
    with ThreadPoolExecutor(MAX_PARALLEL_PARTS) as pool:
        for outcome in pool.map(run_part, find_parts()):
            print(f"{outcome.part}: {_summary(outcome)} ({outcome.seconds:.0f} s)")
            counts += count_results(outcome)
            if outcome.code in (0, NO_TESTS_COLLECTED):
                continue
            print(outcome.output)
            known = find_passed_over(outcome, known_red)
            passed_over |= known
            failed = failed or not known
    errors = counts["failed"] + counts["error"] + counts["errors"]
    print(f"{counts['passed']} passed, {errors} failed")
    for test in sorted(known_red):
        # A test that was not passed over has passed or not run, or it failed in a part
        # with other failures.
        state = "failed, passed over" if test in passed_over else "not passed over"
        print(f"KNOWN-RED.txt: {test}: {state}")
    return 1 if failed or errors > len(passed_over) else 0


def _summary(outcome: Outcome) -> str:
    return "".join(outcome.output.strip().splitlines()[-1:])


def _has_tests(path: Path) -> bool:
    return path.is_file() or any(path.rglob("test_*.py"))


if __name__ == "__main__":
    sys.exit(main())
