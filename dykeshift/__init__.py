"""dykeshift: the decisions of a load-balancing proxy, free of input and output."""

__version__ = "0.1.0"
