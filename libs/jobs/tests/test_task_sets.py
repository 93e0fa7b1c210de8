"""Tests of the compact sets of tasks."""

from __future__ import annotations

from hypothesis import given, settings
from hypothesis import strategies as st

from lycheeloom.jobs.task_sets import TaskSet, WaitingTasks

COUNT = 20
INDEXES = st.integers(0, COUNT - 1)


@given(st.sets(INDEXES))
@settings(derandomize=True, max_examples=50)
def test_task_set_survives_encoding(indexes):
    """No task may be lost or added between two leaders."""
    task_set = TaskSet()
    for index in indexes:
        task_set.add(index)
        task_set.add(index)
    restored = TaskSet(task_set.to_bytes(COUNT))
    assert set(restored) == set(task_set) == indexes
    assert len(restored) == len(task_set) == len(indexes)
    assert -1 not in restored
    assert COUNT not in restored


@given(
    st.sets(INDEXES), st.lists(st.tuples(st.sampled_from(["take", "back"]), INDEXES))
)
@settings(derandomize=True, max_examples=200)
def test_waiting_tasks_behave_like_a_list(done, changes):
    """The order of starts must be that of a plain list of indexes."""
    done_tasks = TaskSet()
    for index in done:
        done_tasks.add(index)
    waiting = WaitingTasks(COUNT, done_tasks)
    expected = [index for index in range(COUNT) if index not in done]
    for change, index in changes:
        match change:
            case "take":
                waiting.remove(index)
                expected = [other for other in expected if other != index]
            case "back" if index not in expected:
                waiting.put_back(index)
                expected.insert(0, index)
            case "back":
                waiting.put_back(index)
        assert list(waiting) == expected
        assert len(waiting) == len(expected)
        assert bool(waiting) == bool(expected)
        assert not expected or waiting.first == expected[0]
        assert [i for i in range(-1, COUNT + 1) if i in waiting] == sorted(expected)
