"""The load tool: an open or closed loop of requests at any balancer, measured from when each was due."""
