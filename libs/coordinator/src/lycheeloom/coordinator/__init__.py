"""Leader election, dispatch and recovery of jobs, independent of the platform.

The platform is accessed through the protocols in ``ports``.
"""
