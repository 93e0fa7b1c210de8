"""Explains where a job would go now, without accepting or starting it.

The decisions are those of ``Intake``, ``Planner`` and ``find_waits``; see
docs/design/explain-placement.md.
"""

from __future__ import annotations

from dataclasses import dataclass

from lycheeloom.jobs.acceptance import find_waits, has_target
from lycheeloom.jobs.model import Job, Queue
from lycheeloom.jobs.trial_round import Trial
from lycheeloom.model.resources import NO_RESOURCES, Resources

from .admission import Assessment
from .clock import steady_s, wall_ms
from .dispatcher import Dispatcher
from .intake import Intake
from .load_reporter import LoadReporter
from .view import View

# Part of the leader's time that explanations may take. One costs two to three planning
# rounds and holds up the others meanwhile, and it is asked for by hand.
MAX_LEADER_SHARE = 0.1


@dataclass(frozen=True, slots=True)
class OrganisationUse:
    """What an organisation uses, its upper limit (0 is none) and its weight."""

    used: Resources
    upper_limit: Resources
    weight: float


@dataclass(frozen=True, slots=True)
class Forecast:
    """In how many ms the job would start, and what that is based on.

    ``starts_in_ms`` is None if it is not known.
    """

    starts_in_ms: float | None
    basis: str


@dataclass(frozen=True, slots=True)
class LeaderPart:
    """What only the leader knows.

    ``pause_reason`` says why it plans no rounds at present; it is empty if it does.
    ``organisation`` is None for a queue that is open to all.
    """

    trial: Trial
    organisation: OrganisationUse | None
    forecast: Forecast
    pause_reason: str


@dataclass(frozen=True, slots=True)
class Placement:
    """Where a job would go now, as far as this instance knows.

    ``leader`` names the instance that leads, and is empty if none is known.
    ``leader_part`` is None unless this instance leads.
    """

    queue: str
    pool: str
    organisation: str
    assessment: Assessment
    leader: str
    leader_part: LeaderPart | None


@dataclass(frozen=True, slots=True)
class AskedTooSoon:
    """The leader has explained another job shortly before; ask after ``wait_s``."""

    wait_s: float


class PlacementExplainer:
    """Answers from what this instance knows; starts, records and changes nothing."""

    def __init__(self, view: View, intake: Intake) -> None:
        self._view = view
        self._intake = intake
        # Set while this instance leads.
        self.leading: tuple[Dispatcher, LoadReporter] | None = None
        self._not_before_s = 0.0

    def explain(self, job: Job, queue: Queue) -> Placement | AskedTooSoon:
        """Return where a job of a queue in the policy would go if it came now."""
        wait_s = self._not_before_s - steady_s()
        if self.leading is not None and wait_s > 0:
            return AskedTooSoon(wait_s)
        table = self._intake.replica.table
        has_leader = table.leader is not None and not table.leader.resigned
        leader_part = None
        if self.leading is not None:
            began_s = steady_s()
            leader_part = self._explain_as_leader(
                *self.leading, self._intake.as_returning(job), queue
            )
            took_s = steady_s() - began_s
            self._not_before_s = began_s + took_s / MAX_LEADER_SHARE
        return Placement(
            queue.name,
            queue.pool,
            job.organisation,
            self._intake.assess(job, queue),
            table.leader.instance if has_leader else "",
            leader_part,
        )

    def _explain_as_leader(
        self, dispatcher: Dispatcher, reporter: LoadReporter, job: Job, queue: Queue
    ) -> LeaderPart:
        pause_reason = dispatcher.pause_reason
        if not dispatcher.writer.may_act:
            pause_reason = "the lease of the leader is not valid"
        trial = dispatcher.try_round(job)
        organisation = self._view.policy.organisation_by_name.get(job.organisation)
        use = None
        if organisation is not None:
            used_by_organisation = dispatcher.fleet.used_by_organisation
            use = OrganisationUse(
                used_by_organisation.get(job.organisation, NO_RESOURCES),
                organisation.upper_limit,
                organisation.weight,
            )
        forecast = self._forecast(dispatcher, reporter, job, queue, trial)
        if pause_reason:
            forecast = Forecast(None, f"nothing is planned: {pause_reason}")
        return LeaderPart(trial, use, forecast, pause_reason)

    def _forecast(
        self,
        dispatcher: Dispatcher,
        reporter: LoadReporter,
        job: Job,
        queue: Queue,
        trial: Trial,
    ) -> Forecast:
        now_ms = wall_ms()
        if trial.starts:
            return Forecast(0.0, "tasks start in the next round")
        if trial.rank is None:
            return Forecast(max(0.0, job.due_ms(0) - now_ms), "when it is due")
        if not has_target(job):
            return Forecast(None, "services and repeated jobs have no forecast")
        waits = find_waits(
            dispatcher.active_job_by_id.values(),
            self._view.policy,
            reporter.cores_by_pool(),
            now_ms,
        )
        wait = waits.get(queue.name)
        if wait is None:
            return Forecast(None, "the cores of the pool are not known")
        wait_ms = wait.wait_ms_by_organisation.get(job.organisation)
        if wait_ms is None:
            return Forecast(
                None, "its organisation has no waiting work; it starts once it fits"
            )
        return Forecast(wait_ms, "waiting work of its organisation")
