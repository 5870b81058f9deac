"""Append-only logs on disk: checksummed records, compaction by atomic replacement, reports of lost data."""
