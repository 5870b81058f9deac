"""Experiments: a file names what is played; runs resume; results are compared and drawn."""
