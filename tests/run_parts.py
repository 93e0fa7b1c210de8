"""Runs the tests in parts side by side and prints one verdict.

gevent's patches rule out runners that share a process tree with the tests, so each
part is a pytest process of its own. The parts are always the same; which of them
run at the same time does not matter to any test.

``KNOWN-RED.txt`` lists tests that show a fault which is not mended yet. They run like
all others; if one of them fails, it is printed and does not fail the run.
"""

from __future__ import annotations

import re
import signal
import subprocess
import sys
import time
from collections import Counter
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
# Tests with real processes wait more than they compute.
SIDE_BY_SIDE = 5
# Parts that take longest begin first.
LONGEST = (
    "tests/test_whole_path.py",
    "tests/test_two_versions.py",
    "tests/test_maintenance.py",
    "libs/entry",
    "libs/operator",
    "libs/coordinator",
)
_COUNT = re.compile(r"(\d+) (passed|failed|error|errors|skipped)\b")
_FAILED_TEST = re.compile(r"^FAILED (\S+::\S+)", re.M)
TESTS_FAILED = 1
NO_TESTS = 5
ADAPTER = "platform"
KNOWN_RED = ROOT / "KNOWN-RED.txt"
# The part of KNOWN-RED.txt that lists tests ends at this line.
_END_OF_TESTS = "Shown by a measuring program"
_ENTRY = re.compile(r"^- (\S+\.py::\S+?):?$", re.M)


@dataclass(frozen=True, slots=True)
class Outcome:
    """How a part ended."""

    part: str
    code: int
    output: str
    seconds: float


def find_parts() -> list[str]:
    """Return test files and folders so that each test is in exactly one."""
    parts = [str(p.relative_to(ROOT)) for p in sorted(ROOT.glob("tests/test_*.py"))]
    parts += [str(p.relative_to(ROOT)) for p in sorted(ROOT.glob("libs/*"))]
    parts += [ADAPTER, "bench"]
    parts = [part for part in parts if _has_tests(ROOT / part)]
    rank = {part: number for number, part in enumerate(LONGEST)}
    return sorted(parts, key=lambda part: rank.get(part, len(rank)))


def run_part(part: str) -> Outcome:
    """Run one part to its end."""
    began = time.monotonic()
    command = [sys.executable, "-m", "pytest", "-o", "addopts=", part]
    options = ["-q", "--import-mode=importlib", "-p", "no:cacheprovider", "--tb=short"]
    if part == ADAPTER:
        # Named from the root, its tests would hide the standard module `platform`.
        options += ["--rootdir", ADAPTER]
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

    An entry begins with a line of its own: ``- tests/test_a.py::test_b:``.
    """
    return frozenset(_ENTRY.findall(text.partition(_END_OF_TESTS)[0]))


def find_excused(outcome: Outcome, known_red: frozenset[str]) -> frozenset[str]:
    """Return the failed tests of a part if all its failures are known, else none.

    An error outside a test's own body, a missing test or a crash of pytest is never
    excused.
    """
    if outcome.code != TESTS_FAILED:
        return frozenset()
    counts = count_results(outcome)
    failed = frozenset(_FAILED_TEST.findall(outcome.output))
    if counts["error"] + counts["errors"] or counts["failed"] != len(failed):
        return frozenset()
    return failed if failed <= known_red else frozenset()


def count_results(outcome: Outcome) -> Counter[str]:
    """Return the figures of pytest's last line, such as ``3 passed``, by word."""
    counts: Counter[str] = Counter()
    for count, word in _COUNT.findall(_summary(outcome)):
        counts[word] += int(count)
    return counts


def main() -> int:
    """Run all parts; returns 0 if every test passed or is known to fail."""
    # A shell that starts this in the background lets it ignore SIGINT, and with it
    # the programs under test, some of which have to end on it.
    signal.signal(signal.SIGINT, signal.default_int_handler)
    known_red = read_known_red(KNOWN_RED.read_text())
    counts: Counter[str] = Counter()
    excused: set[str] = set()
    failed = False
    with ThreadPoolExecutor(SIDE_BY_SIDE) as pool:
        for outcome in pool.map(run_part, find_parts()):
            print(f"{outcome.part}: {_summary(outcome)} ({outcome.seconds:.0f} s)")
            counts += count_results(outcome)
            if outcome.code in (0, NO_TESTS):
                continue
            print(outcome.output)
            known = find_excused(outcome, known_red)
            excused |= known
            failed = failed or not known
    errors = counts["failed"] + counts["error"] + counts["errors"]
    print(f"{counts['passed']} passed, {errors} failed")
    for test in sorted(known_red):
        state = "failed, passed over" if test in excused else "not passed over"
        print(f"KNOWN-RED.txt: {test}: {state}")
    return 1 if failed or errors > len(excused) else 0


def _summary(outcome: Outcome) -> str:
    return "".join(outcome.output.strip().splitlines()[-1:])


def _has_tests(path: Path) -> bool:
    return path.is_file() or any(path.rglob("test_*.py"))


if __name__ == "__main__":
    sys.exit(main())
