"""Deterministic replay of the log into fleet state."""
