"""Demonstration: complete fleets as processes on one machine."""
