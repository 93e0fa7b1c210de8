"""Command line and settings of the entry program."""

import pytest

from lycheeloom.entry.main import main
from lycheeloom.entry.settings import Settings
from lycheeloom.settings import load_settings

GOOD = """
instance = "e1"
zone = "z1"
listen = "127.0.0.1:7201"
peer_listen = "127.0.0.1:7301"
log = "127.0.0.1:7000"
instances = "127.0.0.1:7001"
"""


@pytest.fixture
def write(tmp_path):
    def write(text):
        path = tmp_path / "entry.toml"
        path.write_text(text)
        return path

    return write


def test_good_settings_are_accepted(write, capsys):
    """A correct settings file must pass the check."""
    path = write(GOOD)
    assert isinstance(load_settings(path, Settings), Settings)
    assert main([str(path), "--check-config"]) == 0
    assert "no problems found" in capsys.readouterr().out


@pytest.mark.parametrize(
    ("text", "message"),
    [
        ("instance = ", "is not TOML: Invalid value"),
        (GOOD.replace('zone = "z1"', ""), "zone: is missing"),
        (GOOD + "colour = 1\n", "colour: unknown key; allowed: instance, zone, listen"),
        (
            GOOD.replace("127.0.0.1:7000", "nowhere"),
            "log: String should match pattern",
        ),
        (
            GOOD + "trace_ratio = 2\n",
            "trace_ratio: Input should be less than or equal to 1, got 2",
        ),
        (
            GOOD + 'log_level = "LOUD"\n',
            "log_level: Input should be 'DEBUG', 'INFO', 'WARNING' or 'ERROR', "
            "got 'LOUD'",
        ),
        (
            GOOD + "drain_timeout_s = 0\n",
            "drain_timeout_s: Input should be greater than 0, got 0",
        ),
    ],
)
def test_bad_settings_are_named(write, capsys, text, message):
    """A wrong setting must be reported with the allowed values before the start."""
    path = write(text)
    assert main([str(path)]) == 2
    error = capsys.readouterr().err
    assert f"{path}: {message}" in error


def test_missing_file_is_named(tmp_path, capsys):
    """A wrong path must not end in a traceback."""
    path = tmp_path / "absent.toml"
    assert main([str(path)]) == 2
    assert "cannot be read: No such file or directory" in capsys.readouterr().err
