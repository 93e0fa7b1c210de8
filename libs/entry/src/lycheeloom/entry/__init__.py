"""Entry daemon: accepts callers' requests and runs them at workers."""
