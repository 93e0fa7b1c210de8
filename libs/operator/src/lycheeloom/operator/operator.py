"""The operator library: reads and changes the configuration and waves of a fleet."""

from __future__ import annotations

import secrets
from collections.abc import Callable, Iterable, Mapping, Sequence
from typing import Any

from lycheeloom.clients import Unavailable
from lycheeloom.model.records import ConfigChanged, WaveCommand, WaveState
from lycheeloom.model.status import StatusDocument

from .appending import Accepted, Appender, Clock
from .checks import check_document
from .difference import Change, changed_paths, compare, make_patch, paths_overlap
from .draft import Draft
from .entries import Entries, EntryUnavailable, Explanation, ExplanationNotFound
from .log_view import Log, LogView, PublishedChange
from .problems import Problem, did_you_mean, errors_in
from .reference_checks import Usage
from .results import (
    InForce,
    LogUnavailable,
    LostRace,
    NoEffect,
    NothingToChange,
    NotYetInForce,
    PartlyPublished,
    Published,
    PublishResult,
    Rejected,
    WaveChanged,
    WaveRefused,
    WaveResult,
)
from .splitting import patch_text, split_patch

DEFAULT_TIMEOUT_S = 10.0
# Pause after each time that ``wait_in_force`` asks the entries for their status.
POLL_INTERVAL_S = 0.1
# How often ``change`` applies its edit if other operators publish first each time.
MAX_CHANGE_ATTEMPTS = 5

# By wanted state, the states from which a wave may be commanded into it.
_ALLOWED_STATES_BY_WANTED: Mapping[WaveState, tuple[WaveState, ...]] = {
    WaveState.RUNNING: (WaveState.ABSENT, WaveState.PAUSED),
    WaveState.PAUSED: (WaveState.RUNNING,),
    WaveState.ABORTED: (WaveState.RUNNING, WaveState.PAUSED),
}


class Operator:
    """Reads, checks, compares and publishes the configuration of a fleet.

    Example:

        operator = Operator(LogClient(address), Entries.at(addresses), "aoife")
        result = operator.change(lambda draft: draft.take_zone_out("north"))
        if isinstance(result, Published):
            print(operator.wait_in_force(result.version))

    The outcome of a change is returned as a data class of ``results``. Invalid
    documents, lost races and outages raise no exception. Controllers are asked only
    for explanations. All timeouts are in seconds.
    """

    def __init__(
        self,
        log: Log,
        entries: Entries,
        name: str,
        *,
        controllers: Entries | None = None,
        clock: Clock | None = None,
    ) -> None:
        # Each Operator object numbers its batches from 1, so each needs an author id
        # that was never used before.
        self.author = f"operator:{name}:{secrets.token_hex(8)}"
        self.name = name
        self._entries = entries
        self._controllers = controllers or Entries([])
        self._clock = clock or Clock()
        self._view = LogView(log, self.author)
        self._appender = Appender(log, self._view, self.author, self._clock)

    @property
    def version(self) -> int:
        """The version of the configuration in force when the log was last read."""
        return self._view.version

    @property
    def document(self) -> dict[str, Any]:
        """The configuration document in force when the log was last read."""
        return self._view.document

    @property
    def view(self) -> LogView:
        """The replayed log; callers must not change it."""
        return self._view

    def refresh(self) -> LogUnavailable | None:
        """Read the log to its end and return the reason if that failed."""
        failure = self._view.catch_up()
        if isinstance(failure, Unavailable):
            return LogUnavailable(self._view.describe_read_failure(failure))
        return None

    def draft(self) -> Draft:
        """Return an editable copy of the configuration in force."""
        return Draft(self.document)

    def usage(self) -> Usage:
        """Return running tasks and the pools of instances, for checks of a document.

        Each entry reports how many tasks of an organisation run in the whole fleet;
        the highest report counts. The pools are those in the replayed log.
        """
        running: dict[str, int] = {}
        for status in self._entries.statuses().values():
            if not isinstance(status, StatusDocument):
                continue
            for organisation, item in status.organisations.items():
                running[organisation] = max(running.get(organisation, 0), item.running)
        maintenance = self._view.state.maintenance
        targets = {
            instance: move.to_pool
            for instance, move in maintenance.move_by_instance.items()
            if not move.is_ended()
        }
        return Usage(running, dict(maintenance.pool_by_instance), targets)

    def statuses(self) -> dict[str, StatusDocument | EntryUnavailable]:
        """Return the status of each entry by address."""
        return self._entries.statuses()

    def explain(
        self, kind: str, name: str
    ) -> dict[str, Explanation | ExplanationNotFound | EntryUnavailable]:
        """Ask each entry and controller for the decisions on one object, by address."""
        answers = self._entries.explain(kind, name)
        return answers | self._controllers.explain(kind, name)

    def check(self, document: Mapping[str, Any], file: str) -> list[Problem]:
        """Return all problems of a document that would replace the one in force."""
        return check_document(document, file, self.document, self.usage())

    def new_problems(self, document: Mapping[str, Any], file: str) -> list[Problem]:
        """Return the problems that the document in force does not have already.

        A problem of the document in force must not prevent an unrelated change,
        such as taking a zone out in an emergency.
        """
        usage = self.usage()
        known = set(check_document(self.document, file, self.document, usage))
        found = check_document(document, file, self.document, usage)
        return [problem for problem in found if problem not in known]

    def compare(self, document: Mapping[str, Any]) -> list[Change]:
        """Return how a document differs from the one in force."""
        return compare(self.document, document)

    def history(self) -> list[PublishedChange]:
        """Return the accepted changes that the replayed state still holds."""
        return self._view.changes_since(0)

    def publish(
        self,
        document: Mapping[str, Any],
        expected_version: int,
        *,
        file: str = "draft",
        accept_warnings: bool = False,
        timeout_s: float = DEFAULT_TIMEOUT_S,
    ) -> PublishResult:
        """Replace the configuration if ``expected_version`` is still in force.

        Errors prevent publication, and so do warnings unless they are accepted.
        Problems that the document in force has too do not.
        """
        failure = self.refresh()
        if failure is not None:
            return failure
        if self.version != expected_version:
            return self._lost_race(expected_version)
        problems = self.new_problems(document, file)
        if errors_in(problems) or (problems and not accept_warnings):
            return Rejected(tuple(problems))
        return self._publish(document, timeout_s)

    def change(
        self,
        edit: Callable[[Draft], Any],
        *,
        accept_warnings: bool = False,
        timeout_s: float = DEFAULT_TIMEOUT_S,
    ) -> PublishResult:
        """Edit the configuration in force and publish the result.

        If another operator publishes between the read and the append, the edit is
        applied again to the new configuration, unless both changed the same settings.
        """
        result: PublishResult = LogUnavailable("not read yet")
        for _ in range(MAX_CHANGE_ATTEMPTS):
            failure = self.refresh()
            if failure is not None:
                return failure
            before = self.document
            draft = self.draft()
            edit(draft)
            problems = [
                *draft.problems,
                *self.new_problems(draft.document, draft.file),
            ]
            if errors_in(problems) or (problems and not accept_warnings):
                return Rejected(tuple(problems))
            result = self._publish(draft.document, timeout_s)
            if not isinstance(result, LostRace):
                return result
            paths = changed_paths(before, make_patch(before, draft.document))
            if _conflicts_with_any(result.winners, before, paths):
                return result
        return result

    def command_wave(
        self,
        wave_id: str,
        wanted: WaveState,
        *,
        pools: Sequence[str] = (),
        urgent: bool = False,
        reboot: bool = True,
        expected: Iterable[WaveState] | None = None,
        timeout_s: float = DEFAULT_TIMEOUT_S,
    ) -> WaveResult:
        """Start, pause, resume or abort a maintenance wave.

        ``wanted`` is the state to bring the wave into. ``expected`` are the states
        from which this is allowed; by default all states from which a wave can be
        brought into ``wanted``.
        """
        failure = self.refresh()
        if failure is not None:
            return failure
        allowed = tuple(expected or _ALLOWED_STATES_BY_WANTED.get(wanted, ()))
        state = self._wave_state(wave_id)
        if state not in allowed:
            known = self._view.state.maintenance.wave_by_id
            return WaveRefused(_describe_wrong_state(wave_id, state, allowed, known))
        record = WaveCommand(
            wave_id, state, wanted, tuple(pools), urgent, reboot, self.name
        )
        result = self._appender.append((record,), timeout_s)
        if not isinstance(result, Accepted):
            return result
        not_handed = self._hand_over(result)
        if not result.outcome.effective[0]:
            state = self._wave_state(wave_id)
            return WaveRefused(
                f'the wave "{wave_id}" is now "{state}"; another operator was first'
            )
        return WaveChanged(not_handed)

    def wait_in_force(
        self, version: int, timeout_s: float = DEFAULT_TIMEOUT_S
    ) -> InForce | NotYetInForce:
        """Wait until every entry has the version or a newer one, or the time is up."""
        deadline_s = self._clock.now_s() + timeout_s
        while True:
            missing = {
                address: _describe_lag(status)
                for address, status in self._entries.statuses().items()
                if not _has_version(status, version)
            }
            if not missing:
                return InForce(version)
            if self._clock.now_s() + POLL_INTERVAL_S > deadline_s:
                return NotYetInForce(version, missing)
            self._clock.sleep(POLL_INTERVAL_S)

    def _publish(self, document: Mapping[str, Any], timeout_s: float) -> PublishResult:
        """Append the patch to a document, one batch after another if it is large."""
        before = self.document
        patch = make_patch(before, document)
        if not patch:
            return NothingToChange(self.version)
        not_handed: dict[str, str] = {}
        expected = self.version
        parts = split_patch(patch)
        for index, part in enumerate(parts):
            expected = self.version
            record = ConfigChanged(expected, patch_text(part), self.name)
            result = self._appender.append((record,), timeout_s)
            if isinstance(result, Accepted):
                not_handed.update(self._hand_over(result))
                if result.outcome.effective[0]:
                    continue
                result = self._explain_no_effect(expected, result)
            if index:
                return PartlyPublished(self.version, index, len(parts), result)
            return result
        changes = tuple(compare(before, document))
        return Published(expected + 1, changes, not_handed)

    def _explain_no_effect(
        self, expected: int, result: Accepted
    ) -> LostRace | NoEffect:
        """Return why a record in the log had no effect.

        The race is lost if another change since the expected version comes before the
        record in the log.
        """
        winners = self._view.changes_since(expected)
        if any(change.offset < result.outcome.offset for change in winners):
            return self._lost_race(expected)
        return NoEffect("the fleet changed meanwhile; check the document again")

    def _lost_race(self, expected: int) -> LostRace:
        winners = tuple(self._view.changes_since(expected))
        return LostRace(expected, self.version, winners)

    def _hand_over(self, accepted: Accepted) -> dict[str, str]:
        return self._entries.hand_over(accepted.outcome.offset, [accepted.data])

    def _wave_state(self, wave_id: str) -> WaveState:
        wave = self._view.state.maintenance.wave_by_id.get(wave_id)
        return wave.state if wave is not None else WaveState.ABSENT


def _conflicts_with_any(
    winners: Iterable[PublishedChange], before: Mapping[str, Any], paths: set[tuple]
) -> bool:
    """Tell whether a winner changed a setting at, above or below one of the paths."""
    return any(
        paths_overlap(paths, changed_paths(before, winner.patch)) for winner in winners
    )


def _describe_wrong_state(
    wave_id: str,
    state: WaveState,
    allowed: Iterable[WaveState],
    known: Iterable[str] = (),
) -> str:
    if state is WaveState.ABSENT:
        return f'there is no wave "{wave_id}"{did_you_mean(wave_id, known)}'
    if tuple(allowed) == (WaveState.ABSENT,):
        return f'the wave "{wave_id}" exists already and is "{state}"'
    states = " or ".join(f'"{item}"' for item in allowed)
    return f'the wave "{wave_id}" is "{state}"; the command needs it to be {states}'


def _has_version(status: StatusDocument | EntryUnavailable, version: int) -> bool:
    return isinstance(status, StatusDocument) and status.config_version >= version


def _describe_lag(status: StatusDocument | EntryUnavailable) -> str:
    if isinstance(status, EntryUnavailable):
        return f"no answer: {status.reason}"
    freshness = "" if status.fresh else " and is not fresh"
    return f"has version {status.config_version}{freshness}"
