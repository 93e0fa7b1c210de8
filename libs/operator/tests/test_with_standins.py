"""Tests the library and the command with the stand-in for the log, over HTTP."""

import pytest

from lycheeloom.clients import LogClient
from lycheeloom.operator import Entries, Operator, Published, print_config
from lycheeloom.operator.main import main

from .standin_log import running_log, set_faults


@pytest.fixture
def log_address(tmp_path):
    with running_log(tmp_path) as address:
        yield address


class LosingLog(LogClient):
    """A log client that makes the stand-in lose the answer to each append."""

    def append(self, batch, **options):
        set_faults(self.address, lose_answers=1)
        return super().append(batch, **options)


def test_lost_append_answer_is_resolved(log_address, fleet):
    """Guards against resolving a lost answer only with the log in memory."""
    operator = Operator(LosingLog(log_address), Entries([]), "aoife")
    result = operator.publish(fleet, 0)
    assert isinstance(result, Published)
    assert [change.version for change in operator.history()] == [1]


def test_command_against_the_log(log_address, tmp_path, fleet, capsys):
    """Guards against a command that works only with the log in memory."""
    settings = tmp_path / "lycheeloom.toml"
    settings.write_text(
        f'log = "{log_address}"\nentries = ["127.0.0.1:1"]\noperator = "aoife"\n'
    )
    path = tmp_path / "fleet.toml"
    path.write_text(print_config(fleet))
    common = ["--settings", str(settings)]
    assert main([*common, "config", "publish", str(path), "--no-wait"]) == 0
    printed = capsys.readouterr().out
    assert "Published as version 1." in printed
    assert "Entry 127.0.0.1:1 was not sent the change directly" in printed
    assert main([*common, "zone", "out", "north", "--timeout-s", "1"]) == 6
    assert main([*common, "config", "history"]) == 0
    sentence = 'Zone north: state changes from "in" (the default) to "out"'
    assert sentence in capsys.readouterr().out
    set_faults(log_address, outage=True)
    assert main([*common, "zone", "in", "north"]) == 4
