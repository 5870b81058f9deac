"""A whole installation on loopback: discovery, senders, clients in one process, balancers as real ones."""
