"""The demonstration: a whole fleet as plain processes on one machine."""
