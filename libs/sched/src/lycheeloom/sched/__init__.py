"""Scheduling decisions."""
