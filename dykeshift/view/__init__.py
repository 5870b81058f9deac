"""Membership of the fleet of balancers by gossip (SWIM), with bounds on its size; I/O is in `shell`."""
