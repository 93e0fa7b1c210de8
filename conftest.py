"""Applies gevent's monkey patches before pytest imports any test module."""

from gevent import monkey

monkey.patch_all()
