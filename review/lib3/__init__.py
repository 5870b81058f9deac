"""Stand-ins of the cases 11 to 15, on the standard library alone."""
