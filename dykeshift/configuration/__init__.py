"""Replicated configuration: versioned resources, transactions on them, and delivery to subscribers."""
