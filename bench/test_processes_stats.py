"""Tests of the statistics and configurations behind the capacity page."""

import pytest

from bench.processes_fleet import SHAPE_BY_WORKERS, build_document
from bench.processes_stats import fit_line, percentile
from lycheeloom.model.config import FleetConfig, parse_config


def test_fit_returns_line_and_largest_error():
    fit = fit_line([1, 2, 3, 4], [3, 5, 7, 9])

    assert (fit.slope, fit.base, fit.at(10)) == pytest.approx((2, 1, 21))
    assert fit.largest_error == pytest.approx(0)
    assert fit_line([0, 1, 2], [0, 3, 0]).largest_error == pytest.approx(2)


def test_fit_through_fewer_than_three_sizes_is_rejected():
    with pytest.raises(ValueError, match="at least 3 sizes"):
        fit_line([1, 1, 2], [1, 2, 3])


@pytest.mark.parametrize(
    ("percent", "value"), [(0, 1), (50, 50), (99, 99), (99.5, 100), (100, 100)]
)
def test_percentiles_are_measured_values(percent, value):
    assert percentile(list(range(100, 0, -1)), percent) == value


@pytest.mark.parametrize("workers", SHAPE_BY_WORKERS)
def test_generated_configurations_are_valid_and_of_their_size(workers):
    config = parse_config(build_document(SHAPE_BY_WORKERS[workers], {}), 1)

    assert isinstance(config, FleetConfig)
    assert len(config.instance_by_id) == workers
    assert len(config.pool_by_id) == SHAPE_BY_WORKERS[workers].pools
    assert len(config.organisation_by_id) == SHAPE_BY_WORKERS[workers].organisations
