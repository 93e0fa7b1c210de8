"""Tests each documented exit code with the command as a process."""

import signal
import subprocess
import sys
import threading
from wsgiref.simple_server import WSGIRequestHandler, make_server

import pytest
import urllib3

from lycheeloom.operator import print_config
from lycheeloom.operator.exit_codes import MEANING_BY_EXIT_CODE, ExitCode

from .conftest import small_fleet
from .standin_log import running_log, set_faults

# No entry listens at this address, so no change ever comes into force.
UNREACHABLE_ENTRY = "127.0.0.1:1"


@pytest.fixture
def log_address(tmp_path):
    with running_log(tmp_path) as address:
        yield address


@pytest.fixture
def start(tmp_path, log_address):
    """Return a function that starts the program with settings for a log address."""

    def start_program(*args, log=log_address):
        settings = tmp_path / "lycheeloom.toml"
        settings.write_text(
            f'log = "{log}"\nentries = ["{UNREACHABLE_ENTRY}"]\noperator = "aoife"\n'
        )
        common = ["--settings", str(settings)]
        return subprocess.Popen(
            [sys.executable, "-m", "lycheeloom.operator.main", *common, *args],
            stdout=subprocess.PIPE,
            stderr=subprocess.STDOUT,
            text=True,
        )

    return start_program


@pytest.fixture
def run(start):
    """Return a function that runs the program; it returns exit code and output."""

    def run_program(*args, **options):
        process = start(*args, **options)
        printed, _ = process.communicate()
        return process.returncode, printed

    return run_program


@pytest.fixture
def fleet_file(tmp_path, run):
    """Publish a configuration and return a file with the output of ``config show``."""
    path = tmp_path / "fleet.toml"
    path.write_text(print_config(small_fleet()))
    assert run("config", "publish", str(path), "--no-wait")[0] == ExitCode.OK
    path.write_text(run("config", "show")[1])
    return path


@pytest.fixture
def losing_log_address(log_address):
    """The address of a proxy of the log.

    Before the proxy forwards a POST request, which is an append, it sets the fault with
    which the log carries out this and all later requests, but answers none of them.
    """
    pool = urllib3.PoolManager()

    def application(environ, start_response):
        length = int(environ.get("CONTENT_LENGTH") or 0)
        body = environ["wsgi.input"].read(length)
        method = environ["REQUEST_METHOD"]
        url = f"http://{log_address}{environ['PATH_INFO']}?{environ['QUERY_STRING']}"
        if method == "POST":
            set_faults(log_address, lose_answers=-1)
        try:
            answer = pool.request(method, url, body=body, retries=False)
        except urllib3.exceptions.HTTPError:
            start_response("504 Gateway Timeout", [("Content-Length", "0")])
            return [b""]
        length = str(len(answer.data))
        start_response(f"{answer.status} -", [("Content-Length", length)])
        return [answer.data]

    server = make_server("127.0.0.1", 0, application, handler_class=_QuietHandler)
    threading.Thread(target=server.serve_forever, args=(0.01,), daemon=True).start()
    yield f"127.0.0.1:{server.server_port}"
    server.shutdown()
    server.server_close()


class _QuietHandler(WSGIRequestHandler):
    """A request handler that logs nothing."""

    def log_message(self, format, *args):
        pass


def test_each_documented_code_has_a_test():
    """Guards against a documented exit code without a test.

    ``test_exit_code`` covers the codes of ``COMMANDS_WITH_CODE``; each of the others
    has a test of its own below.
    """
    tested = {code for code, _ in COMMANDS_WITH_CODE} | {
        ExitCode.LOST_RACE,
        ExitCode.UNAVAILABLE,
        ExitCode.OUTCOME_UNKNOWN,
        ExitCode.DIFFERENCES_FOUND,
        ExitCode.INTERRUPTED,
    }
    assert tested == set(MEANING_BY_EXIT_CODE)


# Exit codes, each with the arguments of a command that ends with it.
COMMANDS_WITH_CODE = (
    (ExitCode.OK, ["config", "history"]),
    # A misspelt name of the zone.
    (ExitCode.INVALID_INPUT, ["zone", "out", "norht"]),
    (ExitCode.USAGE, ["zone", "sideways", "north"]),
    (ExitCode.NOT_IN_FORCE, ["zone", "out", "north", "--timeout-s", "0.5"]),
    (ExitCode.NOT_FOUND, ["wave", "status", "kernel-6"]),
    (ExitCode.UNAVAILABLE, ["status"]),
)


@pytest.mark.parametrize(("code", "arguments"), COMMANDS_WITH_CODE)
def test_exit_code(run, fleet_file, code, arguments):
    """Guards against an exit code that differs from the documented one."""
    exit_code, printed = run(*arguments)
    assert exit_code == code, printed


def test_lost_race(run, fleet_file):
    """Guards against a file that overwrites a change published after it was printed."""
    assert run("zone", "out", "north", "--no-wait")[0] == ExitCode.OK
    code, printed = run("config", "publish", str(fleet_file))
    assert code == ExitCode.LOST_RACE
    assert "Version 2 by aoife:\n  Zone north: state changes" in printed


def test_diff_with_and_without_differences(run, fleet_file):
    """Guards against the exit code of equal files for a file that differs."""
    assert run("config", "diff", str(fleet_file), "--exit-code")[0] == ExitCode.OK
    fleet_file.write_text(
        fleet_file.read_text().replace("upper_limit = 10", "upper_limit = 11")
    )
    code, printed = run("config", "diff", str(fleet_file), "--exit-code")
    assert code == ExitCode.DIFFERENCES_FOUND, printed


# In an outage the log answers 503; a log that is down refuses connections.
@pytest.mark.parametrize("fault", ["outage", "down"])
def test_outage_of_the_log(run, log_address, fleet_file, fault):
    """Guards against reporting an outage of the log without its address."""
    set_faults(log_address, **{fault: True})
    code, printed = run("zone", "out", "north", "--timeout-s", "1")
    assert code == ExitCode.UNAVAILABLE
    assert printed.startswith(f"Nothing was changed: the log at {log_address} ")


def test_outcome_unknown(run, log_address, losing_log_address, fleet_file):
    """Guards against a change that took effect, but is reported as failed."""
    code, printed = run(
        "zone", "out", "north", "--timeout-s", "1", log=losing_log_address
    )
    assert code == ExitCode.OUTCOME_UNKNOWN, printed
    assert printed.startswith("It is not known whether the change takes effect: ")
    assert losing_log_address in printed
    set_faults(log_address, lose_answers=0)
    assert "Version 2 by aoife:" in run("config", "history")[1]


def test_watch_is_interrupted(start, fleet_file):
    """Guards against a traceback when ``watch`` is interrupted."""
    process = start("watch", "--interval-s", "3600")
    assert process.stdout.readline() != ""
    process.send_signal(signal.SIGINT)
    printed, _ = process.communicate()
    assert process.returncode == ExitCode.INTERRUPTED
    assert "Traceback" not in printed
