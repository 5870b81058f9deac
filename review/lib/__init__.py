"""Stand-ins and process handling that the cases of the review share. Standard library only."""
