"""The installation at its size in two years: runs, their results file, fits and the capacity page."""
