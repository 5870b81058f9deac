"""Configuration as versioned resources: deltas, scopes, phases."""
