"""Shared fixtures of the coordinator's tests."""

import pytest
from libs.coordinator.tests.fakes import World


@pytest.fixture
def world():
    """A world of two workers without faults."""
    world = World()
    yield world
    world.close()
