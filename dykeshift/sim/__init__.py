"""Deterministic simulation: real balancer code in virtual time on simulated machines, with seeded faults."""
