"""Patches the standard library for gevent before any test module imports it."""

from gevent import monkey

monkey.patch_all()
