"""dykeshift: the decisions of a load-balancing proxy, free of input and output."""
