"""Several processes of the program with faults between them, and the same faults on the virtual clock."""
