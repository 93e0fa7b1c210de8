"""Start-up code shared by all daemons: arguments, settings and signals."""

import signal
import subprocess
import sys

import pytest
from pydantic import BaseModel, ConfigDict

from lycheeloom.settings import ExitCode, Program, read_settings

PROGRAM = Program("lycheeloom-test", "1.2.3", "Does nothing.", "Example: none.")
# gevent's event loop keeps its signal handlers, so each signal is tested in a process
# of its own.
WAITING_DAEMON = """
from gevent.event import Event
from lycheeloom.settings import stop_on_signals
stopping = Event()
stop_on_signals(stopping.set)
print("ready", flush=True)
# The timeout ends the process if the test does not.
if stopping.wait(60):
    print("stopped")
"""


class Settings(BaseModel):
    model_config = ConfigDict(extra="forbid")

    name: str
    zone: str = "z1"


@pytest.fixture
def write(tmp_path):
    def write(text):
        path = tmp_path / "test.toml"
        path.write_text(text)
        return str(path)

    return write


def test_good_settings_are_returned(write):
    """A daemon must get the values of its settings file and the defaults."""
    settings = read_settings(PROGRAM, Settings, [write('name = "a"')])
    assert settings == Settings(name="a")


def test_check_config_does_not_return_settings(write, capsys):
    """--check-config must never start the daemon."""
    path = write('name = "a"')
    assert read_settings(PROGRAM, Settings, [path, "--check-config"]) is ExitCode.OK
    assert capsys.readouterr().out == f"{path}: no problems found\n"


@pytest.mark.parametrize("options", [[], ["--check-config"]])
def test_every_problem_is_printed(write, capsys, options):
    """All problems must be printed at once, not one after the other is fixed."""
    path = write("colour = 1")
    code = read_settings(PROGRAM, Settings, [path, *options])
    assert code is ExitCode.BAD_SETTINGS
    assert capsys.readouterr().err.splitlines() == [
        f"{path}: name: is missing",
        f"{path}: colour: unknown key; allowed: name, zone",
    ]


def test_version_is_that_of_the_program(capsys):
    """Operators compare the output of --version with the running daemons."""
    with pytest.raises(SystemExit) as ended:
        read_settings(PROGRAM, Settings, ["--version"])
    assert ended.value.code == 0
    assert capsys.readouterr().out == "1.2.3\n"


@pytest.mark.parametrize("signum", [signal.SIGTERM, signal.SIGINT])
def test_signals_call_stop(signum):
    """SIGTERM and SIGINT must shut the daemon down instead of killing it."""
    program = subprocess.Popen(
        [sys.executable, "-c", WAITING_DAEMON], stdout=subprocess.PIPE, text=True
    )
    with program:
        assert program.stdout.readline() == "ready\n"
        program.send_signal(signum)
        assert program.stdout.read() == "stopped\n"
    assert program.returncode == 0
