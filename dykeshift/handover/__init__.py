"""Two processes that are one balancer for a while: what the elder leaves to the younger."""
