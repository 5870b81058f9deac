"""The operators' calls: figures, upstreams out by hand, standby."""
