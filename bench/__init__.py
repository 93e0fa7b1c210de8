"""Measurements of decisions, costs and behaviour under failure."""
