"""Measures the decisions of the library against goals and baselines."""
