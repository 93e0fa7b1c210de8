"""Clients for the log service, workers and the instance list."""
