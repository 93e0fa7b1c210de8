"""Acceptance of jobs, leader election and scheduling, independent of the platform.

The platform is accessed through the protocols in ``ports``.
"""
