"""The operators' console, an HTTP interface for status and metrics, bans of upstreams, and standby."""
