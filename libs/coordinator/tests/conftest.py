"""Shared fixtures of the coordinator's tests."""

import pytest
from libs.coordinator.tests.fakes import FakeCluster


@pytest.fixture
def cluster():
    """A world of two workers without faults."""
    cluster = FakeCluster()
    yield cluster
    cluster.close()
