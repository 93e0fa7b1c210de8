"""Data model, state tracking and scheduling decisions for jobs."""
