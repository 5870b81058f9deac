"""Stand-ins for what stands round a balancer: senders, discovery, clients and their front.

Written from the protocol page, over any asyncio loop: the simulation, the demo and loopback tests share them.
"""
