"""Stand-ins of case 7, on the standard library alone."""
