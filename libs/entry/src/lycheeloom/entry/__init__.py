"""Entry daemon."""
