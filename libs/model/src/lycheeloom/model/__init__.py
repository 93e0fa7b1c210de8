"""Data classes, verdicts, configuration and log records."""
