"""Guards the start that the daemons share: arguments, settings and signals."""

import signal
import subprocess
import sys

import pytest
from pydantic import BaseModel, ConfigDict

from lycheeloom.settings import ExitCode, Program, read_settings

PROGRAM = Program("lycheeloom-test", "1.2.3", "Does nothing.", "Example: none.")
# The loop of gevent keeps its signal handlers, hence a process for each signal.
WAITING_DAEMON = """
from gevent.event import Event
from lycheeloom.settings import stop_on_signals
stopping = Event()
stop_on_signals(stopping.set)
print("ready", flush=True)
# Ends by itself if the test does.
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
    """A daemon must run with what its file says."""
    settings = read_settings(PROGRAM, Settings, [write('name = "a"')])
    assert settings == Settings(name="a")


def test_check_ends_without_running(write, capsys):
    """--check-config must never start the daemon."""
    path = write('name = "a"')
    assert read_settings(PROGRAM, Settings, [path, "--check-config"]) is ExitCode.OK
    assert capsys.readouterr().out == f"{path}: no problems found\n"


@pytest.mark.parametrize("options", [[], ["--check-config"]])
def test_every_problem_is_printed(write, capsys, options):
    """A second mistake must not show only after the first one is mended."""
    path = write("colour = 1")
    code = read_settings(PROGRAM, Settings, [path, *options])
    assert code is ExitCode.BAD_SETTINGS
    assert capsys.readouterr().err.splitlines() == [
        f"{path}: name: is missing",
        f"{path}: colour: unknown key; allowed: name, zone",
    ]


def test_version_is_that_of_the_program(capsys):
    """Operators compare versions of running programs with --version."""
    with pytest.raises(SystemExit) as ended:
        read_settings(PROGRAM, Settings, ["--version"])
    assert ended.value.code == 0
    assert capsys.readouterr().out == "1.2.3\n"


@pytest.mark.parametrize("signum", [signal.SIGTERM, signal.SIGINT])
def test_signals_ask_to_stop(signum):
    """Either signal must shut the daemon down instead of killing it."""
    program = subprocess.Popen(
        [sys.executable, "-c", WAITING_DAEMON], stdout=subprocess.PIPE, text=True
    )
    with program:
        assert program.stdout.readline() == "ready\n"
        program.send_signal(signum)
        assert program.stdout.read() == "stopped\n"
    assert program.returncode == 0
