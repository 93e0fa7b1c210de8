"""The choice of workers equals that of a plain walk over all of them."""

from __future__ import annotations

from collections import Counter

from hypothesis import given
from hypothesis import strategies as st

from lycheeloom.jobs import placement
from lycheeloom.jobs.fleet import Run, RunState, WorkerState
from lycheeloom.jobs.model import Step, TaskKey, Worker
from lycheeloom.jobs.placement import WorkerChoice, choose_gang, fits
from lycheeloom.model.resources import NO_RESOURCES, Resources

RACKS = ("", "rack-a", "rack-b")


def choose_by_walk(states, step, counts, avoid):
    """Return the first of the best workers with enough free resources, or None."""
    best, best_rank = None, None
    for state in states:
        worker_id = state.worker.worker_id
        if step.max_per_worker and counts[worker_id] >= step.max_per_worker:
            continue
        if state.takes_one_task and state.has_task:
            continue
        if not fits(step.reservation, state.free):
            continue
        cores = state.worker.capacity.cores
        free_fraction = state.free.cores / cores if cores else 0.0
        load_rank = (False, state.used == NO_RESOURCES, free_fraction)
        if step.long_running:
            has_long_running = bool(counts[worker_id]) or any(
                run.step.long_running for run in state.run_by_task.values()
            )
            load_rank = (
                not has_long_running,
                state.used == NO_RESOURCES,
                -free_fraction,
            )
        rank = (
            state.is_badly_rated,
            bool(step.rack) and step.rack != state.worker.rack,
            worker_id in avoid,
            state.consecutive_failures,
            *load_rank,
        )
        if best_rank is None or rank < best_rank:
            best, best_rank = state, rank
    return best


STEPS = st.builds(
    Step,
    count=st.just(8),
    cpu_milli=st.sampled_from([0, 100, 500, 1000, 3000]),
    memory_mb=st.sampled_from([0, 500, 1000]),
    accelerators=st.sampled_from([0, 0, 1]),
    rack=st.sampled_from(RACKS),
    max_per_worker=st.sampled_from([0, 0, 1, 2]),
    long_running=st.booleans(),
    fills=st.sampled_from([False, False, True]),
)


@st.composite
def worker_states(draw) -> list[WorkerState]:
    states = []
    for number in range(draw(st.integers(0, 6))):
        capacity = Resources(
            draw(st.sampled_from([0.0, 2.0, 4.0])),
            draw(st.sampled_from([0, 2000, 4000])),
            draw(st.sampled_from([0, 2])),
        )
        rack = draw(st.sampled_from(RACKS))
        worker = Worker(f"w{number}", 1, "pool", "address", "zone", capacity, rack=rack)
        state = WorkerState(worker, consecutive_failures=draw(st.integers(0, 1)))
        state.is_badly_rated = draw(st.sampled_from([False, False, True]))
        state.takes_one_task = state.is_badly_rated and draw(st.booleans())
        for index in range(draw(st.integers(0, 2))):
            step = draw(STEPS)
            task = TaskKey("other", 0, 0, index)
            state.run_by_task[task] = Run(
                task, 1, f"w{number}", step, "red", "queue", RunState.RUNNING, 0.0
            )
            state.used = state.used + step.reservation
        states.append(state)
    return states


AVOIDED = st.lists(
    st.one_of(
        st.just(frozenset()), st.frozensets(st.sampled_from(["w0", "w1", "w2", "w3"]))
    ),
    min_size=1,
    max_size=12,
)


@given(worker_states(), STEPS, AVOIDED)
def test_each_choice_equals_that_of_a_walk(states, step, avoided):
    counts: Counter[str] = Counter()
    choice = WorkerChoice(states, step, counts)
    for avoid in avoided:
        expected = choose_by_walk(states, step, counts, avoid)
        actual = choice.next_worker(avoid)
        assert actual is expected
        if actual is None:
            break
        counts[actual.worker.worker_id] += 1
        actual.used = actual.used + step.reservation
        actual.planned_tasks += 1


def choose_gang_by_walk(states, step, indexes):
    """Return a worker for each task of a gang, or None if not all fit."""
    free_by_id = {state.worker.worker_id: state.free for state in states}
    counts: Counter[str] = Counter()
    state_by_index = {}
    for index in indexes:
        best, best_rank = None, None
        for state in states:
            worker_id = state.worker.worker_id
            if step.max_per_worker and counts[worker_id] >= step.max_per_worker:
                continue
            if not fits(step.reservation, free_by_id[worker_id]):
                continue
            is_far = bool(step.rack) and step.rack != state.worker.rack
            rank = (is_far, -free_by_id[worker_id].cores)
            if best_rank is None or rank < best_rank:
                best, best_rank = state, rank
        if best is None:
            return None
        state_by_index[index] = best
        worker_id = best.worker.worker_id
        counts[worker_id] += 1
        free_by_id[worker_id] = free_by_id[worker_id] - step.reservation
    return state_by_index


@given(worker_states(), STEPS, st.integers(1, 12))
def test_choice_for_a_gang_equals_that_of_a_walk(states, step, count):
    indexes = list(range(count))
    well_rated = [state for state in states if not state.is_badly_rated]
    expected = choose_gang_by_walk(well_rated, step, indexes)
    if expected is None:
        expected = choose_gang_by_walk(states, step, indexes)
    assert choose_gang(states, step, indexes) == expected


def test_large_gang_is_not_compared_with_all_workers(monkeypatch):
    """Planning a gang must not cost its tasks times the workers.

    20,000 tasks on 50 workers held up the leader for most of its lease.
    """
    workers = [
        Worker(f"w{n}", 1, "pool", "address", "zone", Resources(4.0, 4000, 0))
        for n in range(50)
    ]
    calls = []
    monkeypatch.setattr(placement, "fits", lambda *args: calls.append(args) or True)
    states = [WorkerState(worker) for worker in workers]
    assert choose_gang(states, Step(2_000, 10, gang=True), list(range(2_000)))
    assert len(calls) <= 2_000 + len(workers)
