"""The answer of an instance about where a job would go, as text."""

from __future__ import annotations

from collections.abc import Iterator

from pydantic import BaseModel, ConfigDict


class _Model(BaseModel):
    # Fields of later versions are kept, so that ``--json`` prints them.
    model_config = ConfigDict(extra="allow", frozen=True)


class _Amount(_Model):
    cores: float
    memory_mb: int
    accelerators: int


class _Decision(_Model):
    verdict: str
    reason: str
    retry_after_s: int


class _Assessment(_Model):
    decision: _Decision
    wait_ms: float
    report_age_s: float | None


class _WorkerGroup(_Model):
    reason: str
    count: int
    worker_ids: list[str]


class _Rank(_Model):
    priority: int
    rank: list[float]
    steps_ahead: int
    service: str | None


class _Trial(_Model):
    rank: _Rank | None
    workers: list[_WorkerGroup]
    worker_id: str
    starts: int
    obstacle: str


class _OrganisationUse(_Model):
    used: _Amount
    upper_limit: _Amount
    weight: float


class _Forecast(_Model):
    starts_in_ms: float | None
    basis: str


class _LeaderPart(_Model):
    trial: _Trial
    organisation: _OrganisationUse | None
    forecast: _Forecast
    pause_reason: str


class PlacementDocument(_Model):
    """The answer of ``POST /v1/placement``."""

    instance: str
    policy_version: int
    queue: str
    pool: str
    organisation: str
    assessment: _Assessment
    leader: str
    leader_part: _LeaderPart | None


def placement_lines(document: PlacementDocument) -> list[str]:
    """Return the lines that describe an answer."""
    return list(_lines(document))


def _lines(document: PlacementDocument) -> Iterator[str]:
    yield (
        f"Queue {document.queue}, pool {document.pool}, by version "
        f"{document.policy_version} on instance {document.instance}."
    )
    yield from _assessment_lines(document.assessment)
    if document.leader_part is None:
        who = f"Instance {document.leader} leads" if document.leader else "None leads"
        yield f"{who}; ask the leader about rank, workers and start."
        return
    yield from _leader_lines(document.leader_part, document.organisation)


def _assessment_lines(assessment: _Assessment) -> Iterator[str]:
    decision = assessment.decision
    reason = f": {decision.reason}" if decision.reason else ""
    yield f"Submitted now: {decision.verdict}{reason}."
    if assessment.report_age_s is None:
        yield "No load report counts here."
    else:
        yield (
            f"Reported wait: {assessment.wait_ms:.0f} ms, by a report that is "
            f"{assessment.report_age_s:.1f} s old."
        )
    if decision.retry_after_s:
        yield f"Come back after {decision.retry_after_s} s; the time depends on the id."


def _leader_lines(part: _LeaderPart, organisation: str) -> Iterator[str]:
    if part.pause_reason:
        yield f"The leader plans nothing: {part.pause_reason}."
    trial, rank = part.trial, part.trial.rank
    if rank is not None:
        served = f", served as {rank.service}" if rank.service else ""
        order = ", ".join(f"{number:.0f}" for number in rank.rank)
        yield (
            f"Rank: priority {rank.priority}{served}, order ({order}), "
            f"{rank.steps_ahead} steps of the pool ahead."
        )
    use = part.organisation
    if use is not None:
        yield (
            f"Organisation {organisation}: weight {use.weight:g}, uses "
            f"{_amount(use.used)}; limit {_amount(use.upper_limit)} (0: none)."
        )
    for group in trial.workers:
        more = ", ..." if group.count > len(group.worker_ids) else ""
        ids = ", ".join(group.worker_ids)
        yield f"Workers, {group.reason}: {group.count} ({ids}{more})."
    if trial.starts:
        yield (
            f"The next round starts {trial.starts} tasks, the first one on worker "
            f"{trial.worker_id}."
        )
    else:
        yield f"The next round starts no task: {trial.obstacle}."
    forecast = part.forecast
    when = "not known"
    if forecast.starts_in_ms is not None:
        when = f"in {forecast.starts_in_ms:.0f} ms"
    yield f"Forecast of the start: {when} ({forecast.basis})."


def _amount(amount: _Amount) -> str:
    return (
        f"{amount.cores:g} cores, {amount.memory_mb} MB, "
        f"{amount.accelerators} accelerators"
    )
