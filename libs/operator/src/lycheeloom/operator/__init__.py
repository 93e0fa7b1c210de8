"""Operator library and command."""
