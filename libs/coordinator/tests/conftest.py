"""Shared fixtures of the coordinator tests."""

import pytest
from libs.coordinator.tests.fakes import FakeCluster


@pytest.fixture
def cluster():
    """A fake cluster of two workers without faults."""
    cluster = FakeCluster()
    yield cluster
    cluster.close()
