"""Maintenance and buffer planning."""
