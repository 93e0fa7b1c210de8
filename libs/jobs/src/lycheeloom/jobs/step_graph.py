"""Dependencies between the steps of a job."""

from __future__ import annotations

from collections.abc import Sequence

from .model import Step


def successors_by_step(steps: Sequence[Step]) -> dict[int, list[int]]:
    """Return the steps that depend on each of the steps, by index."""
    successors: dict[int, list[int]] = {}
    for index, step in enumerate(steps):
        for predecessor in step.after:
            successors.setdefault(predecessor, []).append(index)
    return successors


def chain_ms_by_step(steps: Sequence[Step]) -> list[float]:
    """Return the duration of the longest chain that begins with each of the steps.

    A step depends only on earlier ones; other dependencies are ignored.
    """
    chain_ms = [float(step.estimated_ms) for step in steps]
    for index in reversed(range(len(steps))):
        for predecessor in steps[index].after:
            if predecessor >= index:
                continue
            chain_ms[predecessor] = max(
                chain_ms[predecessor],
                steps[predecessor].estimated_ms + chain_ms[index],
            )
    return chain_ms
