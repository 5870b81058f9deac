"""dykeshift: a load balancer for HTTP and MLLP, with its decision module, simulators and tools."""

__version__ = "0.1.0"
