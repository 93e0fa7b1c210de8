"""Maintenance controller daemon."""
