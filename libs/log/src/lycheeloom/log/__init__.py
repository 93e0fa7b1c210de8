"""Log writer, log tail and snapshots."""
