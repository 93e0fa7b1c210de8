"""Benchmarks of scheduling decisions, costs and behaviour under faults."""
