"""State shared by the old and the new process of a balancer during an upgrade: bans, and who serves."""
