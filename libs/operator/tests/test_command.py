"""The ``lycheeloom`` command: output, exit codes and help."""

import json

import pytest

from lycheeloom.model.config import merge_patch
from lycheeloom.model.status import WaveStatus
from lycheeloom.operator import (
    Explanation,
    Published,
    print_config,
)
from lycheeloom.operator import (
    main as main_module,
)
from lycheeloom.operator.cli_parser import build_parser
from lycheeloom.operator.entries import ExplanationNotFound
from lycheeloom.operator.main import COMMANDS, main

from .conftest import FakeEntry


@pytest.fixture
def entry():
    return FakeEntry("10.0.0.1:7200", running={"red": 3})


@pytest.fixture
def run(monkeypatch, tmp_path, capsys, make_operator, entry):
    """Return a function that runs a command; it returns the exit code and the output.

    The command works on the log and the entry in memory.
    """
    settings = tmp_path / "lycheeloom.toml"
    settings.write_text('log = "127.0.0.1:1"\nentries = ["10.0.0.1:7200"]\n')
    monkeypatch.setattr(
        main_module, "make_operator", lambda settings: make_operator("aoife", entry)
    )

    def run_command(*args):
        code = main(["--settings", str(settings), *args])
        printed = capsys.readouterr()
        return code, printed.out + printed.err

    return run_command


@pytest.fixture
def published(make_operator, entry, fleet):
    """Publish the small configuration; return the operator that did so."""
    operator = make_operator("brendan", entry)
    assert isinstance(operator.publish(fleet, 0), Published)
    return operator


def test_a_printed_file_can_be_published_only_once(run, published, fleet, tmp_path):
    """Guards against publishing a file printed from a version no longer in force."""
    code, text = run("config", "show")
    assert (code, text) == (0, print_config(fleet, 1))
    path = tmp_path / "fleet.toml"
    path.write_text(text.replace("upper_limit = 10", "upper_limit = 12"))
    assert run("config", "diff", str(path), "--exit-code") == (
        8,
        "Organisation red: upper_limit changes from 10 to 12\n",
    )
    assert run("config", "publish", str(path)) == (
        0,
        "Organisation red: upper_limit changes from 10 to 12\n"
        "Published as version 2.\n"
        "Version 2 is in force on every entry.\n",
    )
    code, text = run("config", "publish", str(path))
    assert code == 3
    assert text.startswith(
        "Nothing was changed: version 1 was expected, but version 2 is in force.\n"
        "Version 2 by aoife:\n"
        "  Organisation red: upper_limit changes from 10 to 12\n"
    )


def test_a_file_without_its_version_is_refused(run, published, fleet, tmp_path):
    """Guards against guessing the version that a file is based on."""
    path = tmp_path / "fleet.toml"
    path.write_text(print_config(fleet))
    code, text = run("config", "publish", str(path))
    assert code == 1
    assert text == (
        f"error: {path}: printed_from_version: is missing, and version 1 is in "
        "force; allowed: the line that config show prints, or the option --expect "
        "VERSION\n"
    )
    assert run("config", "publish", str(path), "--expect", "1")[0] == 0


def test_checking_a_file_needs_no_fleet(run, fleet, tmp_path):
    """Guards against errors that are found only when publishing."""
    path = tmp_path / "fleet.toml"
    path.write_text(print_config(fleet))
    assert run("config", "check", str(path)) == (0, "No errors.\n")
    path.write_text(print_config(merge_patch(fleet, {"pools": {"lookup": None}})))
    code, text = run("config", "check", str(path))
    assert code == 1
    assert text.count("error: ") == 4


def test_zone_out_waits_until_the_change_is_in_force(run, published, entry):
    """Guards against reporting success before the entries have the change."""
    code, text = run("zone", "out", "north")
    assert code == 0
    assert text.endswith("Version 2 is in force on every entry.\n")
    assert entry.state.config.zone_by_id["north"].state == "out"
    # A misspelt name of the zone.
    code, text = run("zone", "in", "norht")
    assert code == 1
    assert 'there is no zone "norht" (did you mean "north"?)' in text


def test_an_entry_without_the_change_is_named(run, published, entry):
    """Guards against success for a change that an entry does not have yet."""
    entry.reachable = False
    code, text = run("zone", "out", "north", "--timeout-s", "1")
    assert code == 6
    assert (
        "Not yet in force on entry 10.0.0.1:7200: no answer: no answer in time." in text
    )


def test_a_key_is_shown_once_and_withdrawn(run, published, entry):
    """Guards against a key that cannot be used or cannot be withdrawn."""
    code, text = run("key", "grant", "red", "--id", "laptop", "--json")
    data = json.loads(text)
    assert (code, data["key"], data["result"]) == (0, "laptop", "published")
    assert data["token"].startswith("laptop.")
    assert data["token"] not in run("config", "show")[1]
    assert run("key", "grant", "red", "--id", "laptop")[0] == 1
    assert run("key", "withdraw", "laptop")[0] == 0
    assert entry.state.config.key_by_id == {}


def test_wave_status_shows_the_forecast_and_the_reason(run, published, entry):
    """Guards against omitting the forecast and the reason that entries report."""
    reason = "Instance w2 of pool lookup stays in service for now."
    entry.waves = {"spring": WaveStatus(ends_in_s=1500, reason=reason)}
    assert run("wave", "start", "spring", "--pool", "lookup")[0] == 0
    text = run("wave", "status", "spring")[1]
    assert "25 min" in text
    assert reason in text
    assert run("wave", "abort", "spring")[0] == 0
    assert "25 min" not in run("wave", "status", "spring")[1]


def test_wave_and_move_commands_change_the_fleet(run, published):
    """Guards against wave and move commands that do not call the library."""
    code, text = run("wave", "plan", "--pool", "lookup", "--reboot-s", "240")
    assert code == 0
    assert "Instances: 3, rounds: 3, about 15 min" in text
    assert run("wave", "start", "spring", "--pool", "lookup") == (0, "Done.\n")
    assert run("wave", "start", "spring")[0] == 1
    assert run("wave", "start", "autumn", "--pool", "lokup")[0] == 1
    assert run("wave", "pause", "spring")[0] == 0
    assert "paused" in run("wave", "status", "spring")[1]
    assert run("wave", "status", "sprung")[0] == 7
    assert run("pool", "move", "w4", "lookup")[0] == 0
    code, text = run("config", "history", "--limit", "1")
    assert text == (
        'Version 2 by aoife:\n  Instance w4: pool changes from "general" to "lookup"\n'
    )


@pytest.mark.parametrize(
    ("command", "problems"),
    [
        (
            ["pool", "move", "w44", "lokup"],
            [
                'POOL: there is no pool "lokup" (did you mean "lookup"?); allowed: '
                "the name of a pool under [pools]",
                'INSTANCE: there is no instance "w44" (did you mean "w4"?); allowed: '
                "the name of an instance under [instances]",
            ],
        ),
        (
            ["zone", "out", "norht"],
            [
                'ZONE: there is no zone "norht" (did you mean "north"?); allowed: '
                "the name of a zone under [zones]"
            ],
        ),
        (
            ["key", "grant", "rde"],
            [
                'ORGANISATION: there is no organisation "rde" (did you mean '
                '"red"?); allowed: '
                "the name of an organisation under [organisations]"
            ],
        ),
        (
            ["key", "grant", "blue", "--id", "red-1"],
            [
                '--id: is a key of the organisation "red" already; allowed: a key '
                "name that "
                "is not in use"
            ],
        ),
        (
            ["key", "withdraw", "rde-1"],
            [
                'KEY: there is no key "rde-1" (did you mean "red-1"?); allowed: '
                "the name of a key of some organisation"
            ],
        ),
    ],
)
def test_a_problem_names_the_argument(run, published, command, problems):
    """Guards against an invalid argument reported as a problem of a draft."""
    assert run("key", "grant", "red", "--id", "red-1")[0] == 0
    lines = [f"error: command line: {problem}\n" for problem in problems]
    assert run(*command) == (1, "".join(lines))


def test_a_warning_about_the_result_names_no_argument(run, published):
    """Guards against a warning that looks like an invalid command-line argument."""
    assert run("zone", "out", "north")[0] == 0
    code, text = run("zone", "out", "south")
    assert code == 1
    assert text.startswith("warning: after this change: zones: are all out, ")


@pytest.mark.parametrize(
    ("command", "message"),
    [
        (
            ["pool", "move", "w1", "lookup"],
            'the instance "w1" belongs to the pool "lookup" already',
        ),
        (["zone", "in", "north"], 'the zone "north" is in service already'),
        (["zone", "out", "north"], 'the zone "north" is out of service already'),
    ],
)
def test_a_repeated_change_says_that_nothing_changes(run, published, command, message):
    """Guards against a repeated command that does not say that it changed nothing."""
    run(*command)
    assert run(*command) == (0, f"Nothing to change: {message}.\n")


def test_commands_that_ask_the_entries(run, published, entry):
    """Guards against view commands with wrong exit codes, or without a reason.

    The commands are ``status``, ``watch`` and ``explain``.
    """
    code, text = run("status")
    assert code == 0
    assert "Fleet fleet, configuration version 1" in text
    assert (
        run("watch", "--count", "2", "--interval-s", "0.01")[1].count("Organisations")
        == 2
    )
    entry.explain = lambda kind, name: Explanation((f"The {kind} {name} is full.",))
    assert run("explain", "pool", "lookup") == (0, "The pool lookup is full.\n")
    entry.explain = lambda kind, name: ExplanationNotFound()
    assert run("explain", "pool", "x") == (7, "No entry knows the pool x.\n")
    text = "No decision about the whole fleet is known.\n"
    assert run("explain", "fleet") == (7, text)
    with pytest.raises(SystemExit):
        run("explain", "pool")
    entry.reachable = False
    code, text = run("status")
    assert code == 4
    assert "no answer: no answer in time" in text


def test_a_change_in_an_outage_of_the_log_says_what_to_do(run, published, log):
    """Guards against reporting an outage without saying what to do."""
    advice = (
        "Meanwhile interactive work goes on, and lycheeloom status still answers. "
        "Repeat the command when the log answers again.\n"
    )
    log.faults.extend(["down"] * 100)
    assert run("zone", "out", "north", "--timeout-s", "1") == (
        4,
        f"Nothing was changed: the log at 10.0.0.9:7000 is unavailable.\n{advice}",
    )
    log.failing_reads = 1000
    assert run("zone", "out", "north") == (
        4,
        "Nothing was changed: the log at 10.0.0.9:7000 cannot be read (http status "
        f"503).\n{advice}",
    )


@pytest.mark.parametrize(
    "command", [["config", "show"], ["config", "history"], ["wave", "status"]]
)
def test_reading_in_an_outage_of_the_log(run, published, log, command):
    """Guards against "Nothing was changed" from a command that only reads."""
    log.failing_reads = 1000
    assert run(*command) == (
        4,
        "The log at 10.0.0.9:7000 cannot be read (http status 503).\n"
        "Meanwhile interactive work goes on, and lycheeloom status still answers. "
        "Repeat the command when the log answers again.\n",
    )


def test_a_change_too_large_for_the_log_is_no_outage(run, published, log):
    """Guards against advice to repeat a command that the log always refuses."""
    log.faults.append("large")
    assert run("zone", "out", "north") == (
        1,
        "Nothing was changed: the log at 10.0.0.9:7000 refused the change because it "
        "is too large. Make it in smaller steps.\n",
    )


@pytest.mark.parametrize(
    ("command", "view_command"),
    [
        (["zone", "out", "north"], "lycheeloom config history"),
        (["wave", "start", "spring"], "lycheeloom wave status"),
    ],
)
def test_an_unknown_outcome_says_where_to_look(
    run, published, log, command, view_command
):
    """Guards against naming a command that does not show the change in question."""
    log.faults.extend(["dropped"] * 100)
    assert run(*command, "--timeout-s", "1") == (
        5,
        "It is not known whether the change takes effect: the log at 10.0.0.9:7000 "
        "did not confirm the change (no answer in time).\n"
        "Meanwhile interactive work goes on, and lycheeloom status still answers. "
        f"When the log answers again, look at {view_command}; repeat the command only "
        "if the change is not there.\n",
    )


def test_invalid_settings_end_the_command(tmp_path, capsys):
    """Guards against running a command with invalid settings."""
    path = tmp_path / "s.toml"
    path.write_text('log = "127.0.0.1:1"\nentries = ["10.0.0.1:7200"]\n')
    assert main(["--settings", str(path), "--check-config"]) == 0
    path.write_text('log = "x"\n')
    assert main(["status", "--settings", str(path)]) == 1
    assert capsys.readouterr().err.count("error: ") == 2


def test_each_command_has_help_with_examples(capsys):
    """Guards against a command without an example, a handler or a parser."""
    for name in [*COMMANDS, "config check"]:
        with pytest.raises(SystemExit) as exit_info:
            build_parser().parse_args([*name.split(), "--help"])
        assert exit_info.value.code == 0
        assert f"lycheeloom {name}" in capsys.readouterr().out.split("examples:")[1]


def test_wave_plan_names_instances_that_are_never_maintained(
    run, fleet, make_operator, entry
):
    """Guards against planning rounds that the controller would never start."""
    fleet["pools"]["general"]["needed"] = 2
    assert isinstance(make_operator("brendan", entry).publish(fleet, 0), Published)
    text = run("wave", "plan")[1]
    for name in ("w4", "w5", "w6"):
        assert f"Instance {name} is never maintained" in text


def test_a_granted_key_is_named(run, fleet, make_operator, entry):
    """Guards against a change report that does not name the granted key."""
    del fleet["organisations"]["red"]["keys"]
    assert isinstance(make_operator("brendan", entry).publish(fleet, 0), Published)
    text = run("key", "grant", "red", "--id", "red-laptop")[1]
    assert "Organisation red: key red-laptop is added: a salted hash" in text


@pytest.mark.parametrize(
    ("arguments", "code"),
    [
        (["--version"], 0),
        (["--print-completion", "bash"], 0),
        (["zone", "sideways", "north"], 2),
        (["config", "publish", "f", "--expect", "-1"], 2),
        (["status", "--timeout-s", "0"], 2),
    ],
)
def test_exit_codes_of_the_parser(arguments, code, capsys):
    """Guards against exit codes other than the documented ones."""
    with pytest.raises(SystemExit) as exit_info:
        main(arguments)
    assert exit_info.value.code == code


def test_help_without_a_command_lists_the_exit_codes(capsys):
    """Guards against exit codes that the help does not list."""
    assert main([]) == 2
    text = capsys.readouterr().err
    for code in (0, 1, 2, 3, 4, 5, 6, 7, 8, 130):
        assert f"\n  {code:3}  " in text


@pytest.mark.parametrize(
    ("args", "code", "reason"),
    [
        (("--path", "/a/", "job.json"), 2, "needs --address, --host and --path"),
        (("--path", "/a/"), 2, "needs an ID"),
        (("--address", "nowhere", "job.json"), 2, "allowed: HOST:PORT"),
        (("no-such-file.json",), 1, "no-such-file.json: cannot be read: No such file"),
        ((__file__,), 4, "127.0.0.1:1 gave no answer: not connected"),
    ],
)
def test_placement_names_what_is_wrong(capsys, args, code, reason):
    """Guards against a traceback, or a wrong exit code, for a mistake or an outage."""
    where = ["--host", "h.example", "--path", "/a/", "--address", "127.0.0.1:1"]
    where = where[: 0 if code == 2 and "--address" not in args else None]
    try:
        found = main(["explain", "placement", *where, *args])
    except SystemExit as error:
        found = error.code
    assert (found, reason in capsys.readouterr().err) == (code, True)
