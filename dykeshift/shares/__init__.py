"""Limits that balancers share: parts of them, lent among one another for a time."""
