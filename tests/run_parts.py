"""Runs the tests in parts side by side and prints one verdict.

gevent's patches rule out runners that share a process tree with the tests, so each
part is a pytest process of its own. The parts are always the same; which of them
run at the same time does not matter to any test.
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
NO_TESTS = 5
ADAPTER = "platform"


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


def main() -> int:
    """Run all parts; returns 0 if every test passed."""
    # A shell that starts this in the background lets it ignore SIGINT, and with it
    # the programs under test, some of which have to end on it.
    signal.signal(signal.SIGINT, signal.default_int_handler)
    counts: Counter[str] = Counter()
    failed = False
    with ThreadPoolExecutor(SIDE_BY_SIDE) as pool:
        for outcome in pool.map(run_part, find_parts()):
            summary = outcome.output.strip().splitlines()[-1:]
            print(f"{outcome.part}: {''.join(summary)} ({outcome.seconds:.0f} s)")
            for count, word in _COUNT.findall("".join(summary)):
                counts[word] += int(count)
            if outcome.code not in (0, NO_TESTS):
                failed = True
                print(outcome.output)
    errors = counts["failed"] + counts["error"] + counts["errors"]
    print(f"{counts['passed']} passed, {errors} failed")
    return 1 if failed or errors else 0


def _has_tests(path: Path) -> bool:
    return path.is_file() or any(path.rglob("test_*.py"))


if __name__ == "__main__":
    sys.exit(main())
