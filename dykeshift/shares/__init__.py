"""Limits shared by all balancers: each has an allocation and lends unused units to others by leases."""
