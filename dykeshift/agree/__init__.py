"""Consensus on a replicated log of changes that the balancers share (docs/design/agree.md)."""
