"""Crowds of slow or greedy clients before a daemon whose supervisor ends it at its memory limit."""
